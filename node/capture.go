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
			Number:         n.capturedFlows,
			At:             n.now,
			Type:           request.ServiceType,
			Key:            request.Key,
			Group:          request.Group,
			Returning:      request.Returning,
			ConnectTimeout: request.ConnectTimeout,
		},
		end: capture.End{Number: n.capturedFlows, Outcome: capture.Severed},
	}
}

// captureAnswer writes a flow's answer to the capture.
func (n *Node) captureAnswer(f *flow, answer byte) {
	record := f.record
	if record == nil || record.answered {
		return
	}
	record.answered = true
	record.flow.Answer, record.flow.AnswerTime, record.flow.Connects = answer, n.now-record.flow.At, f.Connects
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
		n.captureAnswer(f, capture.ClientLeft)
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
		s.end.LinesUp += n
	} else {
		s.end.LinesDown += n
	}
}

// captureLoad writes a flow's load as its host reported it.
func (n *Node) captureLoad(f *flow, load float64) {
	if f.record != nil {
		n.config.Capture.Load(capture.Load{Number: f.record.flow.Number, At: n.now, Load: load})
	}
}

// setEnd sets how the flow ended.
func (s *captureRecord) setEnd(how byte) {
	if s != nil {
		s.end.Outcome = how
	}
}
