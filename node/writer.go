package node

import (
	"log"

	"coursewinch/balance"
)

var _ balance.Writer = (*Node)(nil)

// SetAlarm schedules the decider's next alarm.
func (n *Node) SetAlarm(at int64) { n.deadlines.set(&n.alarm, at) }

// Log logs a line of the decider.
func (n *Node) Log(text string) { log.Printf("msg=module text=%q", text) }
