package node

import (
	"bytes"

	"coursewinch/balance"
	"coursewinch/capture"
)

// captureRecord is what a capture will hold of a flow.
type captureRecord struct {
	flow     capture.Flow
	end      capture.End
	answered bool // its answer is in the capture
}

// hostEndKinds are the words for how a host's side of a flow ended.
var hostEndKinds = map[balance.Outcome]byte{balance.Completed: capture.Completed, balance.Recalled: capture.Moved,
	balance.Severed: capture.Severed}

// startCapture begins to keep what a capture wants of a flow.
func (n *Node) startCapture(f *flow) {
	if n.config.Capture == nil {
		return
	}
	n.capturedFlows++
	request := f.request
	f.record = &captureRecord{flow: capture.Flow{No: n.capturedFlows, At: n.now, Type: request.Class, Key: request.Key, Group: request.Group, Again: request.Again,
		Wait: request.Wait}, end: capture.End{No: n.capturedFlows, How: capture.Severed}}
}

// captureAnswer writes that a flow has its answer.
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

// captureEnd writes the end of an established flow, or that a client left before its answer.
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

// captureLoad writes what a flow's load is told to be.
func (n *Node) captureLoad(f *flow, load float64) {
	if f.record != nil {
		n.config.Capture.Load(capture.Load{No: f.record.flow.No, At: n.now, Load: load})
	}
}

func (s *captureRecord) setEnd(how byte) {
	if s != nil {
		s.end.How = how
	}
}
