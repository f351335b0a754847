package node

import (
	"fmt"
	"strings"
	"unsafe"

	"coursewinch/balance"
	"coursewinch/lines"
)

// Limits bound what a node holds besides its descriptors. Zero values stand for the defaults named.
type Limits struct {
	Hosts   int   // records; further ones of a list are left out. 20,000
	Groups  int   // remembered without flows; the rest is met anew. 4,096
	IDs     int   // of past flows; older ones may come again. 8,192
	Wide    int   // rings that may be wide at once. 32
	Buffers int   // rings that hold bytes; at the cap, who waits longest with half a line goes. 0: as many as needed
	Idle    int64 // microseconds for which an established client may say nothing; 0: for ever
	Stalled int64 // and for which it may take nothing of what waits for it; 0: for ever
}

const defaultMaxHosts = 20_000

// Hold is what a node holds for one purpose.
type Hold struct {
	Purpose string
	Count   int
	Bytes   int
	Cap     int // of Count; 0 without one
}

// Holdings says what the node holds by purpose: descriptors first, then memory. It walks the tables: for counters on
// request, not for each turn.
func (n *Node) Holdings() []Hold {
	roles := map[role]int{}
	for _, entry := range n.conns.entries {
		if entry.value != nil {
			roles[entry.value.role]++
		}
	}
	var requestBytes int // text of lines that wait for an answer
	for _, entry := range n.flows.entries {
		if entry.value != nil && entry.value.request != nil {
			requestBytes += int(unsafe.Sizeof(*entry.value.request)) + lines.Longest/8
		}
	}
	known, strangers := 0, 0
	if n.admissionGate != nil {
		known, strangers = n.admissionGate.Held()
	}
	logs := 0
	for key := range n.logKinds {
		logs += len(key) + int(unsafe.Sizeof(logKind{}))
	}
	buffers, wide := n.ringBudget.Held()
	return []Hold{
		{"fd_new", roles[roleNew], 0, 0}, {"fd_client", roles[roleClient], 0, 0}, {"fd_connect", roles[roleUpstream], 0, 0},
		{"fd_probe", roles[roleProbe], 0, 0}, {"fd_watch", roles[roleWatch], 0, 0}, {"fd_leaving", roles[roleClosing], 0, 0},
		{"fd_operator", roles[roleOperator], 0, CallPlaces},
		{"connections", n.conns.count, n.conns.count*int(unsafe.Sizeof(conn{})) + n.flows.count*int(unsafe.Sizeof(flow{})) + requestBytes, 0},
		{"hosts", len(n.hosts), len(n.hosts) * int(unsafe.Sizeof(host{})+64), n.limits.Hosts},
		{"groups", len(n.groups), len(n.groups) * int(unsafe.Sizeof(group{})+48), n.limits.Groups},
		{"ids", len(n.recentIDs.ring), len(n.recentIDs.ring) * 32, n.limits.IDs},
		{"buffers", buffers, (buffers-wide)*lines.RingSize + wide*lines.WideSize, n.limits.Buffers},
		{"addresses", known + strangers, (known + strangers) * 192, 0},
		{"logs", len(n.logKinds), logs, maxLogKinds},
		{"deadlines", len(n.deadlines.heap), cap(n.deadlines.heap) * 8, 0},
	}
}

// HoldingsText is that as key=value, count and bytes and, where there is one, the cap.
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

// closeStalledClients ends what holds on without use: clients that vanished or take nothing. Once a second.
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
			n.moveClient(f) // it may be there yet: then it comes again
			n.endFlow(f, balance.Recalled)
		}
	}
}

// relieveBuffers makes room among the buffers at their cap: of those that sit on half a line before they have a flow, the one
// that has for longest goes. Guards the memory against many who say half a word.
func (n *Node) relieveBuffers() {
	for n.limits.Buffers > 0 {
		if held, _ := n.ringBudget.Held(); held <= n.limits.Buffers {
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
		n.detach(oldest)
	}
}
