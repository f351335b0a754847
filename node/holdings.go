package node

import (
	"fmt"
	"strings"
	"unsafe"

	"coursewinch/balance"
	"coursewinch/lines"
)

// Limits bound what a node holds besides descriptors. A zero value selects the default.
type Limits struct {
	Hosts   int   // host records; further entries of a list are left out. Default 20,000
	Groups  int   // groups above which those without flows are forgotten; they start anew. Default 4,096
	IDs     int   // request ids remembered; older ones are accepted again. Default 8,192
	Wide    int   // rings that may be wide at once. Default 32
	Buffers int   // rings that hold bytes; above it, clients that have sent part of a line are closed. Default: no limit
	Idle    int64 // microseconds that an established client may send nothing. Default: no limit
	Stalled int64 // microseconds that an established client may read nothing while bytes wait for it. Default: no limit
}

const defaultMaxHosts = 20_000 // where Limits.Hosts is 0

// Holding is what a node holds for one purpose.
type Holding struct {
	Purpose string
	Count   int
	Bytes   int // estimated memory; 0 where it is not estimated
	Cap     int // limit of Count; 0 for none
}

// Holdings returns what the node holds by purpose, descriptors first, then memory. It walks all tables, so it is meant for
// operators' requests and not for each loop iteration.
func (n *Node) Holdings() []Holding {
	roles := map[role]int{}
	for _, entry := range n.conns.entries {
		if entry.value != nil {
			roles[entry.value.role]++
		}
	}
	var requestBytes int // estimated size of requests without an answer
	for _, entry := range n.flows.entries {
		if entry.value != nil && entry.value.request != nil {
			requestBytes += int(unsafe.Sizeof(*entry.value.request)) + lines.MaxLineBytes/8
		}
	}
	known, unknown := 0, 0
	if n.admission != nil {
		known, unknown = n.admission.AddressCounts()
	}
	logs := 0
	for key := range n.logKinds {
		logs += len(key) + int(unsafe.Sizeof(logKind{}))
	}
	buffers, wide := n.ringBudget.InUse()
	return []Holding{
		{"fd_new", roles[roleNew], 0, 0}, {"fd_client", roles[roleClient], 0, 0}, {"fd_connect", roles[roleUpstream], 0, 0},
		{"fd_probe", roles[roleProbe], 0, 0}, {"fd_watch", roles[roleWatch], 0, 0}, {"fd_leaving", roles[roleClosing], 0, 0},
		{"fd_operator", roles[roleOperator], 0, MaxOperatorConns},
		{"connections", n.conns.count, n.conns.count*int(unsafe.Sizeof(conn{})) + n.flows.count*int(unsafe.Sizeof(flow{})) + requestBytes, 0},
		{"hosts", len(n.hosts), len(n.hosts) * int(unsafe.Sizeof(host{})+64), n.limits.Hosts},
		{"groups", len(n.groups), len(n.groups) * int(unsafe.Sizeof(group{})+48), n.limits.Groups},
		{"ids", len(n.recentIDs.ring), len(n.recentIDs.ring) * 32, n.limits.IDs},
		{"buffers", buffers, (buffers-wide)*lines.RingSize + wide*lines.WideRingSize, n.limits.Buffers},
		{"addresses", known + unknown, (known + unknown) * 192, 0},
		{"logs", len(n.logKinds), logs, maxLogKinds},
		{"deadlines", len(n.deadlines.heap), cap(n.deadlines.heap) * 8, 0},
	}
}

// HoldingsText returns the holdings as key=value pairs with count, bytes and limit where there are any.
func (n *Node) HoldingsText() string {
	var text strings.Builder
	for i, h := range n.Holdings() {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d", h.Purpose, h.Count)
		if h.Bytes > 0 {
			fmt.Fprintf(&text, "/%dB", h.Bytes)
		}
		if h.Cap > 0 {
			fmt.Fprintf(&text, "/cap%d", h.Cap)
		}
	}
	return text.String()
}

// closeStalledClients moves the flows of clients that have sent or read nothing for longer than the limits allow. It
// runs once a second.
func (n *Node) closeStalledClients() {
	if n.limits.Idle == 0 && n.limits.Stalled == 0 {
		return
	}
	for _, entry := range n.flows.entries {
		f := entry.value
		if f == nil || f.ended || f.stage != Established {
			continue
		}
		idle := n.limits.Idle > 0 && n.now-f.client.receivedAt > n.limits.Idle
		stalled := n.limits.Stalled > 0 && f.client.out.Len() > 0 && n.now-f.client.sentAt > n.limits.Stalled
		if idle || stalled {
			n.Count.Vanished++
			n.moveClient(f) // a client that is still there will reconnect
			n.endFlow(f, balance.Recalled)
		}
	}
}

// relieveBuffers closes clients until the number of buffers is within its limit: of the clients without a flow that
// have sent part of a line, the one that has sent nothing more for longest. This bounds the memory that clients can take with
// incomplete lines.
func (n *Node) relieveBuffers() {
	for n.limits.Buffers > 0 {
		if held, _ := n.ringBudget.InUse(); held <= n.limits.Buffers {
			return
		}
		var oldest *conn
		for e := n.silentConns.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); c.role == roleNew && c.in.Len() > 0 {
				oldest = c
				break
			}
		}
		if oldest == nil {
			return
		}
		n.Count.Shed++
		n.closeDetached(oldest)
	}
}
