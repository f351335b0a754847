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
	record.flow.Answer = answer
	record.flow.AnswerTime = n.now - record.flow.At
	record.flow.Connects = f.Connects
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
func (r *captureRecord) countLines(up bool, chunk []byte) {
	if r == nil {
		return
	}
	count := bytes.Count(chunk, []byte("\n"))
	if up {
		r.end.LinesUp += count
	} else {
		r.end.LinesDown += count
	}
}

// captureLoad writes a flow's load as its host reported it.
func (n *Node) captureLoad(f *flow, load float64) {
	if f.record != nil {
		n.config.Capture.Load(capture.Load{Number: f.record.flow.Number, At: n.now, Load: load})
	}
}

// setEnd sets how the flow ended.
func (r *captureRecord) setEnd(how byte) {
	if r != nil {
		r.end.Outcome = how
	}
}
