package node

import (
	"log"

	"coursewinch/balance"
)

var _ balance.Writer = (*Node)(nil)

// Alarm asks for a Tick.
func (n *Node) Alarm(at int64) { n.deadlines.set(&n.tickAlarm, at) }

// Trace writes a line of the module.
func (n *Node) Trace(text string) { log.Printf("msg=module text=%q", text) }
