package simwire

import (
	"encoding/base64"
	"strconv"

	"coursewinch/balance"
	"coursewinch/cluster/peers"
)

const alarmToken = 1 // the adapter has a single alarm for each instance

// writeCall writes the name and first fields of a call, after a line that names the instance if it has changed.
func (a *Adapter) writeCall(name string, parts ...string) {
	if a.repliedID != a.instanceID {
		a.repliedID = a.instanceID
		a.out.WriteString("as\t")
		a.writeInt(a.instanceID)
		a.endLine()
	}
	a.out.WriteString(name)
	for _, p := range parts {
		a.out.WriteByte('\t')
		a.out.WriteString(p)
	}
}

func (a *Adapter) endLine() { a.out.WriteByte('\n') }

func (a *Adapter) writeInt(n int64) {
	a.digits = strconv.AppendInt(a.digits[:0], n, 10)
	a.out.Write(a.digits)
}

// writeMillis writes a field with a time in milliseconds, with three decimals if it is not whole.
func (a *Adapter) writeMillis(us int64) {
	a.digits = append(a.digits[:0], '\t')
	a.digits = strconv.AppendInt(a.digits, us/1000, 10)
	if rest := us % 1000; rest != 0 {
		a.digits = append(a.digits, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	}
	a.out.Write(a.digits)
}

// Connect opens a connection of a flow to a server, with a timeout in microseconds.
func (a *Adapter) Connect(f *balance.Flow, s *balance.Server, timeout int64) {
	state := f.Ref.(*flowState)
	state.connects = append(state.connects, s)
	state.pending++
	a.writeCall("issue", state.id, s.Name)
	a.writeMillis(timeout)
	a.endLine()
}

// Reject answers a flow that the client may retry after retryAfter microseconds.
func (a *Adapter) Reject(f *balance.Flow, retryAfter int64) {
	state := f.Ref.(*flowState)
	a.writeCall("overload_reply", state.id)
	a.writeMillis(retryAfter)
	a.endLine()
	a.finish(state)
}

// Abort answers a flow that the client has to give up.
func (a *Adapter) Abort(f *balance.Flow) {
	state := f.Ref.(*flowState)
	a.writeCall("abort", state.id)
	a.endLine()
	a.finish(state)
}

// finish marks a flow as answered, and forgets it unless connects are pending.
func (a *Adapter) finish(state *flowState) {
	state.finished = true
	if state.pending == 0 {
		delete(a.current.flows, state.id)
	}
}

// Move asks the client of an established flow to connect anew.
func (a *Adapter) Move(f *balance.Flow) {
	state := f.Ref.(*flowState)
	state.finished = true
	a.writeCall("transfer", state.id)
	a.endLine()
}

// Probe sends a probe to a server.
func (a *Adapter) Probe(s *balance.Server) {
	a.writeCall("ping", s.Name)
	a.endLine()
}

// Publish publishes load reports and group placements to the other nodes.
func (a *Adapter) Publish(servers []*balance.Server, placements []balance.GroupPlacement) {
	peers.Encode(servers, placements, func(message []byte) {
		a.writeCall("memo_to", "*", base64.StdEncoding.EncodeToString(message))
		a.endLine()
	})
}

// Watch requests the list of servers and its changes.
func (a *Adapter) Watch() {
	a.writeCall("tail", "1")
	a.endLine()
}

// SetAlarm sets the time, in microseconds, at which the simulator sends tick_due.
func (a *Adapter) SetAlarm(at int64) {
	a.writeCall("set_alarm", strconv.Itoa(alarmToken))
	a.writeMillis(at)
	a.endLine()
}

// Log writes a line of text to the simulator's trace.
func (a *Adapter) Log(text string) {
	a.writeCall("trace", text)
	a.endLine()
}
