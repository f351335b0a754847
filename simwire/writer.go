package simwire

import (
	"encoding/base64"
	"strconv"

	"coursewinch/balance"
	"coursewinch/cluster/peers"
)

const alarmToken = 1 // the adapter has a single alarm for each instance

// writeCall writes the name and first fields of a call, after a line that names the instance if it has changed.
func (d *Adapter) writeCall(name string, parts ...string) {
	if d.repliedID != d.instanceID {
		d.repliedID = d.instanceID
		d.out.WriteString("as\t")
		d.writeInt(d.instanceID)
		d.endLine()
	}
	d.out.WriteString(name)
	for _, p := range parts {
		d.out.WriteByte('\t')
		d.out.WriteString(p)
	}
}

func (d *Adapter) endLine() { d.out.WriteByte('\n') }

func (d *Adapter) writeInt(n int64) {
	d.digits = strconv.AppendInt(d.digits[:0], n, 10)
	d.out.Write(d.digits)
}

// writeMillis writes a field with a time in milliseconds, with three decimals if it is not whole.
func (d *Adapter) writeMillis(us int64) {
	d.digits = append(d.digits[:0], '\t')
	d.digits = strconv.AppendInt(d.digits, us/1000, 10)
	if rest := us % 1000; rest != 0 {
		d.digits = append(d.digits, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	}
	d.out.Write(d.digits)
}

// Connect opens a connection of a flow to a server, with a timeout in microseconds.
func (d *Adapter) Connect(f *balance.Flow, s *balance.Server, timeout int64) {
	state := f.Ref.(*flowState)
	state.connects = append(state.connects, s)
	state.pending++
	d.writeCall("issue", state.id, s.Name)
	d.writeMillis(timeout)
	d.endLine()
}

// Reject answers a flow that the client may retry after retryAfter microseconds.
func (d *Adapter) Reject(f *balance.Flow, retryAfter int64) {
	state := f.Ref.(*flowState)
	d.writeCall("overload_reply", state.id)
	d.writeMillis(retryAfter)
	d.endLine()
	d.finish(state)
}

// Abort answers a flow that the client has to give up.
func (d *Adapter) Abort(f *balance.Flow) {
	state := f.Ref.(*flowState)
	d.writeCall("abort", state.id)
	d.endLine()
	d.finish(state)
}

// finish marks a flow as answered, and forgets it unless connects are pending.
func (d *Adapter) finish(state *flowState) {
	state.finished = true
	if state.pending == 0 {
		delete(d.current.flows, state.id)
	}
}

// Move asks the client of an established flow to connect anew.
func (d *Adapter) Move(f *balance.Flow) {
	state := f.Ref.(*flowState)
	state.finished = true
	d.writeCall("transfer", state.id)
	d.endLine()
}

// Probe sends a probe to a server.
func (d *Adapter) Probe(s *balance.Server) {
	d.writeCall("ping", s.Name)
	d.endLine()
}

// Publish publishes load reports and group placements to the other nodes.
func (d *Adapter) Publish(servers []*balance.Server, placements []balance.GroupPlacement) {
	peers.Encode(servers, placements, func(message []byte) {
		d.writeCall("memo_to", "*", base64.StdEncoding.EncodeToString(message))
		d.endLine()
	})
}

// Watch requests the list of servers and its changes.
func (d *Adapter) Watch() {
	d.writeCall("tail", "1")
	d.endLine()
}

// SetAlarm sets the time, in microseconds, at which the simulator sends tick_due.
func (d *Adapter) SetAlarm(at int64) {
	d.writeCall("set_alarm", strconv.Itoa(alarmToken))
	d.writeMillis(at)
	d.endLine()
}

// Log writes a line of text to the simulator's trace.
func (d *Adapter) Log(text string) {
	d.writeCall("trace", text)
	d.endLine()
}
