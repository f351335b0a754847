package node

import (
	"bytes"

	"coursewinch/balance"
	"coursewinch/capture"
)

// captureRecord collects what a capture will hold of a flow.
type captureRecord struct {
	flow     capture.Flow
	end      capture.End
	answered bool // the answer has been written to the capture
}

// hostEndKinds are the capture's codes for flows that ended at the host's side, by outcome.
var hostEndKinds = map[balance.Outcome]byte{balance.Completed: capture.Completed, balance.Recalled: capture.Moved,
	balance.Severed: capture.Severed}

// startCapture begins the record of a flow, where flows are captured.
func (n *Node) startCapture(f *flow) {
	if n.config.Capture == nil {
		return
	}
	n.capturedFlows++
	request := f.request
	f.record = &captureRecord{
		flow: capture.Flow{
			No:    n.capturedFlows,
			At:    n.now,
			Type:  request.Class,
			Key:   request.Key,
			Group: request.Group,
			Again: request.Again,
			Wait:  request.Wait,
		},
		end: capture.End{No: n.capturedFlows, How: capture.Severed},
	}
}

// captureAnswer writes a flow's answer to the capture.
func (n *Node) captureAnswer(f *flow, answer byte) {
	record := f.record
	if record == nil || record.answered {
		return
	}
	record.answered = true
	record.flow.Answer, record.flow.Took, record.flow.Connects = answer, n.now-record.flow.At, f.Tries
	if f.host != nil {
		record.flow.Host = f.host.uid
	}
	n.config.Capture.Flow(record.flow)
}

// captureEnd writes the end of an established flow, or that its client left before the answer.
func (n *Node) captureEnd(f *flow) {
	record := f.record
	switch {
	case record == nil:
	case !record.answered:
		n.captureAnswer(f, capture.Left)
	case record.flow.Answer == capture.Established:
		record.end.At = n.now
		n.config.Capture.End(record.end)
	}
	f.record = nil
}

// countLines counts the lines of a chunk passed up to the host or down to the client.
func (s *captureRecord) countLines(up bool, chunk []byte) {
	if s == nil {
		return
	}
	if n := bytes.Count(chunk, []byte("\n")); up {
		s.end.Up += n
	} else {
		s.end.Down += n
	}
}

// captureLoad writes a flow's load as its host reported it.
func (n *Node) captureLoad(f *flow, load float64) {
	if f.record != nil {
		n.config.Capture.Load(capture.Load{No: f.record.flow.No, At: n.now, Load: load})
	}
}

// setEnd sets how the flow ended.
func (s *captureRecord) setEnd(how byte) {
	if s != nil {
		s.end.How = how
	}
}
