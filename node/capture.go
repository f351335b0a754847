package node

import (
	"bytes"

	"coursewinch/balance"
	"coursewinch/capture"
)

// seen is what a capture will hold of a flow.
type seen struct {
	flow  capture.Flow
	end   capture.End
	noted bool // its answer is in the capture
}

// ends are the words for how a host's side of a flow ended.
var ends = map[balance.Outcome]byte{balance.Completed: capture.Completed, balance.Recalled: capture.Moved,
	balance.Severed: capture.Severed}

// look begins to keep what a capture wants of a flow.
func (n *Node) look(f *flow) {
	if n.conf.Capture == nil {
		return
	}
	n.captured++
	o := f.open
	f.seen = &seen{flow: capture.Flow{No: n.captured, At: n.now, Type: o.Class, Key: o.Key, Group: o.Group, Again: o.Again,
		Wait: o.Wait}, end: capture.End{No: n.captured, How: capture.Severed}}
}

// captureAnswer writes that a flow has its answer.
func (n *Node) captureAnswer(f *flow, answer byte) {
	s := f.seen
	if s == nil || s.noted {
		return
	}
	s.noted = true
	s.flow.Answer, s.flow.Took, s.flow.Connects = answer, n.now-s.flow.At, f.Tries
	if f.host != nil {
		s.flow.Host = f.host.uid
	}
	n.conf.Capture.Flow(s.flow)
}

// captureEnd writes the end of an established flow, or that a client left before its answer.
func (n *Node) captureEnd(f *flow) {
	s := f.seen
	switch {
	case s == nil:
	case !s.noted:
		n.captureAnswer(f, capture.Left)
	case s.flow.Answer == capture.Established:
		s.end.At = n.now
		n.conf.Capture.End(s.end)
	}
	f.seen = nil
}

func (s *seen) passed(up bool, p []byte) {
	if s == nil {
		return
	}
	if n := bytes.Count(p, []byte("\n")); up {
		s.end.Up += n
	} else {
		s.end.Down += n
	}
}

// captureLoad writes what a flow's load is told to be.
func (n *Node) captureLoad(f *flow, load float64) {
	if f.seen != nil {
		n.conf.Capture.Load(capture.Load{No: f.seen.flow.No, At: n.now, Load: load})
	}
}

func (s *seen) ended(how byte) {
	if s != nil {
		s.end.How = how
	}
}
