package node

import (
	"log"

	"coursewinch/balance"
)

var _ balance.Writer = (*Node)(nil)

// Alarm schedules the decider's next alarm.
func (n *Node) Alarm(at int64) { n.deadlines.set(&n.tickAlarm, at) }

// Trace logs a line of the decider.
func (n *Node) Trace(text string) { log.Printf("msg=module text=%q", text) }
