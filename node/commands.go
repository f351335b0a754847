package node

import (
	"fmt"
	"log"

	"coursewinch/admin"
	"coursewinch/handover"
)

// An operators' command, drain or resume, holds for the node and not only for the process that was called. While two
// processes serve the node, the one that was called answers with 200 once the other one has confirmed that it knows the
// command. The command then outlives either process, and a later command at the other process counts as later.

// confirmationTimeout is how long a call waits for the peer process to confirm its command. Operators expect an answer within
// a second.
const confirmationTimeout = 500 * ms

// unconfirmedText is the answer to a call whose command the peer process has not confirmed in time.
const unconfirmedText = "%s here, but not confirmed by the other process of the node: call again\n"

// operatorCommands is what this process knows of operators' commands.
type operatorCommands struct {
	newest    handover.Command // its age is not kept
	confirmed uint64           // the peer process knows the commands up to this number
}

// Drain moves all flows away and keeps the node out of service until Resume. Draining a drained node changes nothing.
func (n *Node) Drain() { n.giveCommand(true) }

// Resume puts a drained node back into service.
func (n *Node) Resume() { n.giveCommand(false) }

// giveCommand carries out an operators' command and passes it on to the peer process. Also a command that changes nothing here
// gets a number: the peer process may know of an earlier one that it has not passed on yet. Numbers follow the clock, which the
// processes of a node share, so that the later of two calls counts even if neither process knew of the other one's.
func (n *Node) giveCommand(drained bool) {
	number := max(uint64(n.now), n.commands.newest.Number+1)
	n.applyCommand(handover.Command{Number: number, Drained: drained}, "operator")
	n.handover.updates.command = n.handover.peer != nil
}

// applyCommand makes a command the newest one and carries it out. The source is logged.
func (n *Node) applyCommand(command handover.Command, source string) {
	n.commands.newest = command
	switch {
	case command.Drained && n.drainAt == 0:
		log.Printf("msg=drained flows=%d by=%s", n.flows.count, source)
		n.beginDrain(max(n.now-command.Age, 1))
	case !command.Drained && n.drainAt > 0:
		log.Printf("msg=resumed flows=%d by=%s", n.flows.count, source)
		n.endDrain()
	}
}

// newestCommand returns the newest operators' command with its present age.
func (n *Node) newestCommand() handover.Command {
	command := n.commands.newest
	if n.drainAt > 0 {
		command.Age = max(n.now-n.drainAt, 0)
	}
	return command
}

// ReceiveCommand handles an operators' command that the peer process knows.
func (n *Node) ReceiveCommand(command handover.Command) {
	if command.Supersedes(n.commands.newest) {
		n.applyCommand(command, "other_process")
	}
	n.handover.updates.confirmed = command.Number
}

// CommandConfirmed is called when the peer process knows the operators' commands up to a number. It answers the calls that
// waited for that.
func (n *Node) CommandConfirmed(number uint64) {
	n.commands.confirmed = max(n.commands.confirmed, number)
	n.answerConfirmedCalls()
}

// isConfirmed reports whether a command is known to all processes of the node.
func (n *Node) isConfirmed(number uint64) bool {
	if n.handover.refused {
		return false // the other process goes on and can't be told
	}
	return n.handover.peer == nil || number <= n.commands.confirmed
}

// awaitConfirmation makes a call wait for its answer until the peer process knows the newest command.
func (n *Node) awaitConfirmation(c *conn) {
	c.awaitedCommand = n.commands.newest.Number
	c.timer.run = func() {
		n.answerCommand(c, admin.NotReady, fmt.Sprintf(unconfirmedText, n.state()))
	}
	n.deadlines.set(&c.timer, n.now+confirmationTimeout)
}

// answerConfirmedCalls answers the calls whose command all processes of the node know by now.
func (n *Node) answerConfirmedCalls() {
	for e := n.operatorCalls.answered.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.awaitedCommand > 0 && n.isConfirmed(c.awaitedCommand) {
			n.answerCommand(c, admin.OK, n.state()+"\n")
		}
	}
}

// answerCommand answers a call that waited for the confirmation of its command.
func (n *Node) answerCommand(c *conn, status int, body string) {
	c.awaitedCommand = 0
	c.timer.run = func() { n.close(c) }
	n.deadlines.set(&c.timer, n.now+operatorCallTimeout)
	n.answerCall(c, status, "", body)
}
