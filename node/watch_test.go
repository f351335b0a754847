package node

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/settings"
)

const (
	watchLineInterval = 2 * second // discovery sends at least one line in this time
	secondCallWithin  = 200 * ms   // longest wait for the next call after one failed call
	thirdCallWithin   = 400 * ms   // after two
	laterCallWithin   = 3800 * ms  // after many
)

// The bound on changes that operators are promised is the sum of the longest waits: a silence is noticed, a call is
// made and lost, and the next one is answered; or a call is refused after many others, and the next one is answered, or
// lost and the one after it answered.
func TestChangesApplyWithinBound(t *testing.T) {
	if sum := watchSilenceTimeout + secondCallWithin + callTimeout + thirdCallWithin + roundTripMargin; sum > maxChangeDelay {
		t.Error("a silent watch and a lost call:", sum)
	}
	if maxChangeDelay != 6*second { // promised to operators
		t.Error("changes may take", maxChangeDelay)
	}
	if watchSilenceTimeout <= watchLineInterval {
		t.Error("a line that comes in time counts as missing")
	}
	for _, nodes := range []int{1, 6, 80, 350} { // the module keeps the waits that the sums assume
		n, net := newNode(1)
		n.settings.Nodes = nodes
		n.callRefused = true
		if sum := n.settings.WatchBackoffLimit() + n.listTimeout() + roundTripMargin; sum > maxChangeDelay || n.listTimeout() < callTimeout {
			t.Error(nodes, "nodes: many refused, then one answered at the last moment:", sum, n.listTimeout())
		}
		n.callRefused = false
		failed := 0
		for range 12 {
			for from := n.now; n.pendingCall == nil; {
				if n.now-from > laterCallWithin || failed == 1 && n.now-from > secondCallWithin || failed == 2 && n.now-from > thirdCallWithin {
					t.Fatalf("%d nodes: %d us after %d failed calls", nodes, n.now-from, failed)
				}
				net.run(10*ms, func() {})
			}
			net.run(1, func() { n.watchLost(n.pendingCall, "refused") })
			failed++
		}
	}
}

// Thirty-two nodes gave up their calls after 1.5 s each, and a discovery that answers about five calls a second worked for
// calls that had been given up: half of the nodes had no watch after 17 s (throng+brink at kingston-replay's settings).
func TestCallsWaitLongerAfterRefusal(t *testing.T) {
	n, net := newNode(1)
	n.settings.Nodes = 32
	for n.pendingCall == nil {
		net.run(ms, func() {})
	}
	net.receive(net.connectLast(), "HTTP/1.1 503 Service Unavailable\r\n\r\n")
	for n.pendingCall == nil {
		net.run(ms, func() {})
	}
	call := net.connectLast()
	net.run(3*second, func() {})
	if n.pendingCall == nil || n.pendingCall.id != call || net.ended[call] != "" {
		t.Fatal("call given up while it may still be in discovery's queue")
	}
	net.receive(call, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	if n.watch == nil || n.watch.id != call {
		t.Fatal("the late answer did not make the call the watch")
	}
	net.run(1, func() { n.watchLost(n.watch, "ended") })
	for n.pendingCall == nil {
		net.run(ms, func() {})
	}
	call = n.pendingCall.id
	if net.run(callTimeout, func() {}); n.pendingCall != nil && n.pendingCall.id == call {
		t.Fatal("a lost call was kept although discovery had refused none")
	}
	n.callRefused = true
	if n.SetDiscovery("d9"); n.callRefused {
		t.Fatal("a refusal of one address counts at another")
	}
	first := net.connectLast()
	net.run(1, func() { n.Ended(first, syscall.ECONNRESET) })
	for n.pendingCall == nil {
		net.run(ms, func() {})
	}
	call = net.connectLast()
	if net.run(3*second, func() {}); net.ended[call] != "" {
		t.Fatal("call given up too early after discovery had reset another")
	}
	if net.run(queuedCallTimeout-3*second, func() {}); net.ended[call] != "close" {
		t.Fatal("call not given up")
	}
}

// A change at the worst moment: the watch falls silent right before it, the next call is lost, and the one after that
// brings the change.
func TestChangeAfterSilentWatch(t *testing.T) {
	n, net := newNode(2)
	first := net.connectLast()
	net.receive(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	from := n.now
	calls := n.Count.Calls
	for n.Count.Calls < calls+2 {
		if n.now-from > maxChangeDelay {
			t.Fatal("no second call")
		}
		net.run(10*ms, func() {})
	}
	net.receive(net.connectLast(), watchHead+chunk(`{"rev":4,"all":false,"targets":[{"uid":"s-1","state":"draining"}]}`))
	if n.hosts["s-1"].State != balance.Draining || n.now-from > maxChangeDelay {
		t.Fatal(n.hosts["s-1"].State, n.now-from)
	}
}

// A watch that brings bytes but no whole line counts as silent: single bytes, a line that never ends, a list that is never
// complete.
func TestOnlyWholeLinesCountAgainstSilence(t *testing.T) {
	for name, more := range map[string]func(i int) string{
		"a list that never ends": func(i int) string { return "1\r\n{\r\n" },
		"a line that never ends": func(i int) string { return "1\r\n \r\n" },
		"half a list and empty lines": func(i int) string {
			if i == 0 {
				return chunk(`{"rev":4,`)
			}
			return chunk("")
		},
	} {
		n, net := newNode(1)
		first := net.connectLast()
		net.receive(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
		for i := range int(watchSilenceTimeout / (100 * ms)) {
			net.receive(first, more(i))
			net.run(100*ms-1, func() {})
		}
		if net.run(100*ms, func() {}); n.Count.CallsFailed != 1 {
			t.Error(name, "keeps the watch alive")
		}
	}
	n, net := newNode(1)
	first := net.connectLast()
	net.receive(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	for range 5 {
		net.run(watchLineInterval, func() {})
		net.receive(first, chunk(""))
	}
	if n.Count.CallsFailed != 0 {
		t.Fatal("a watch that brings empty lines was given up")
	}
}

// A discovery that has restarted has lower versions, and its changes since such a version are not the whole list. The node
// requests the whole list then.
func TestDiscoveryRestart(t *testing.T) {
	n, net := newNode(2)
	first := net.connectLast()
	net.receive(first, watchHead+chunk(`{"rev":41,"all":false,"targets":[]}`))
	net.run(1, func() { n.Ended(first, nil) })
	net.run(250*ms, func() {})
	call := net.connectLast()
	if !strings.Contains(net.sent[call], "after=41 ") {
		t.Fatal(net.sent[call])
	}
	net.receive(call, watchHead+chunk(`{"rev":2,"all":false,"targets":[]}`))
	if call = net.connectLast(); strings.Contains(net.sent[call], "after=") {
		t.Fatal("a version of the restarted discovery was taken for an old one")
	}
	net.receive(call, watchHead+chunk(`{"rev":2,"all":true,"targets":[{"uid":"s-0","endpoint":"h0","state":"ready"}]}`))
	if len(n.hosts) != 1 || n.listRev != 2 || n.watch == nil {
		t.Fatal(len(n.hosts), n.listRev)
	}
}

// The address of discovery changes, changes back, and old watches and calls end meanwhile. In the end the last address is
// watched, and there is at most one call at any time.
func TestDiscoveryAddressChangesTwice(t *testing.T) {
	n, net := newNode(1)
	old := net.connectLast()
	net.receive(old, watchHead+chunk(`{"rev":30,"all":false,"targets":[]}`))
	net.run(1, func() { n.SetDiscovery("d2") })
	call := net.connectLast()
	net.run(1, func() { n.SetDiscovery("") }) // back, while the call is out
	if net.ended[call] != "close" || net.ended[old] != "" || n.pendingCall != nil {
		t.Fatal("the old watch was not kept", net.ended[call], net.ended[old])
	}
	net.run(1, func() { n.SetDiscovery("d2") })
	net.run(1, func() { n.Ended(old, nil) }) // while the second call is out
	second := net.lastConn()
	net.run(300*ms, func() {})
	if net.lastConn() != second || n.pendingCall == nil || n.watch != nil {
		t.Fatal("two calls")
	}
	net.connectLast()
	net.receive(second, watchHead+chunk(`{"rev":1,"all":true,"targets":[{"uid":"s-7","endpoint":"h7","state":"ready"}]}`))
	if n.hosts["s-7"] == nil || n.hosts["s-0"] != nil || n.watch == nil || n.watch.discoveryAddr != "d2" {
		t.Fatal(n.hosts)
	}
	net.run(1, func() { n.SetDiscovery("d3") })
	third := net.connectLast()
	net.receive(second, chunk(`{"rev":2,"all":false,"targets":[{"uid":"s-7","state":"draining"}]}`)) // just before the switch
	net.receive(third, watchHead+chunk(`{"rev":9,"all":true,"targets":[{"uid":"s-8","endpoint":"h8","state":"ready"}]}`))
	if net.ended[second] != "close" || n.listAddr != "d3" || n.listRev != 9 || n.hosts["s-7"] != nil {
		t.Fatal(net.ended[second], n.listAddr, n.listRev)
	}
	if net.run(1, func() { n.Received(second) }); n.listAddr != "d3" {
		t.Fatal("a list of the old address was applied after one of the new")
	}
}

// newPushedNode is newNode with settings for pushed lists.
func newPushedNode(hosts int) (*Node, *fakeNet) {
	n, net := newNode(hosts)
	set := *n.settings
	set.OnRequest, set.DrainGrace = false, 400*ms
	otherNet := &fakeNet{
		address:     net.address,
		in:          net.in,
		out:         net.out,
		sent:        net.sent,
		ended:       net.ended,
		up:          net.up,
		endedUnread: net.endedUnread,
		room:        100,
	}
	otherNet.node = New(&set, Config{}, otherNet)
	otherNet.node.Begin(startTime, entries("ready", hosts))
	return otherNet.node, otherNet
}

// Where lists are pushed, changes count as known from a process's start, also drains that happened while no process
// ran. Flows therefore wait for the first list.
func TestFlowsWaitForFirstPushedList(t *testing.T) {
	n, net := newPushedNode(2)
	front := net.openClient("PING\r\n")
	if n.pendingCall == nil {
		net.run(1, func() {})
	}
	watch := net.ids[0]
	c := net.openClient(openLine)
	if net.expect(t, front, "NO\r\n", ""); n.upstreamCount != 0 || net.sent[c] != "" {
		t.Fatal("flow sent by a list that may be old", n.upstreamCount, net.sent[c])
	}
	net.up[watch] = true
	net.run(1, func() { n.Connected(watch) })
	net.receive(watch, watchHead+chunk(`{"rev":3,"all":false,"targets":[{"uid":"s-0","state":"draining"}]}`))
	if net.address[net.lastConn()] != "h1" || n.upstreamCount != 1 {
		t.Fatal("flow not sent by the first list", net.address[net.lastConn()])
	}
	net.receive(front, "PING\r\n")
	net.expect(t, front, "NO\r\nPONG\r\n", "")

	n, net = newPushedNode(1) // discovery sends nothing
	c = net.openClient("OPEN 1 2 c=chat,d=1000\r\n")
	net.run(500*ms, func() {})
	net.expect(t, c, "BUSY\r\n", "shut")
	late := net.openClient("OPEN 1 2 c=chat,d=9000\r\n")
	gone := net.openClient("OPEN 1 2 c=chat,d=9000\r\n")
	net.run(1, func() { n.Ended(gone, nil) })
	net.run(firstListWait, func() {})
	if n.upstreamCount != 1 || n.flows.count != 1 || net.sent[late] != "" {
		t.Fatal("flow still waits for the first list", n.upstreamCount, n.flows.count)
	}
	net.receive(net.openClient("PING\r\n"), "")
	if net.sent[net.lastConn()] != "PONG\r\n" {
		t.Fatal("not ready by the remembered list")
	}
}

// Where lists are pushed, a successor does not wait for a first list, because the list handed over is not old.
func TestSuccessorDoesNotWaitForFirstList(t *testing.T) {
	predecessor, peer := newPredecessor(t, 1)
	state, _ := predecessor.node.BeginHandover(peer)
	n, net := newPushedNode(0)
	successor := New(n.settings, Config{}, net)
	successor.settings.ListsPushed = true
	net.node = successor
	successor.InheritState(&fakePeer{t: t}, state)
	successor.Begin(n.now, discovery.List{})
	net.run(joinTimeout, func() {})
	net.expect(t, net.openClient("PING\r\n"), "PONG\r\n", "")
	if net.openClient(openLine); successor.upstreamCount != 1 || len(successor.heldFlows) != 0 {
		t.Fatal("flow held", successor.upstreamCount, len(successor.heldFlows))
	}
}

// Where lists are pushed, changes count as known as soon as discovery is back, so the node is never long without a call.
func TestPushedListsRequestedWithinGrace(t *testing.T) {
	n, net := newPushedNode(1)
	net.run(1, func() {})
	for range 20 {
		net.run(1, func() { n.watchLost(n.pendingCall, "refused") })
		from := n.now
		for n.pendingCall == nil {
			net.run(ms, func() {})
		}
		if n.now-from > n.settings.DrainGrace/2+2*ms {
			t.Fatal("no call for", n.now-from)
		}
	}
}

// A fleet that starts while discovery is down and without a list answers PONG after a while, and rejects clients.
func TestReadyWithoutAnyList(t *testing.T) {
	for _, push := range []bool{false, true} {
		_, net := newNode(0)
		if push {
			_, net = newPushedNode(0)
		}
		front := net.openClient("PING\r\n")
		net.expect(t, front, "NO\r\n", "")
		net.run(readyWithoutListAfter, func() {})
		net.receive(front, "PING\r\n")
		net.expect(t, front, "NO\r\nPONG\r\n", "")
		net.expect(t, net.openClient(openLine), "BUSY\r\n", "shut")
	}
	if readyWithoutListAfter >= 10*second {
		t.Fatal("nine in ten nodes have to be ready within 10 s")
	}
}

// When idle clients hold every descriptor, a call to discovery, also one for a new address after SIGHUP, sheds one of them.
func TestCallShedsForDescriptor(t *testing.T) {
	n, net := newNode(1)
	var idle []uint64
	for range 5 {
		idle = append(idle, net.openClient("PING\r\n"))
	}
	net.run(shedAfterPing, func() {})
	net.room = 0
	net.run(1, func() { n.SetDiscovery("d2") })
	if n.Count.Shed == 0 || net.ended[idle[1]] != "part" || net.address[net.lastConn()] != "d2" {
		t.Fatal(n.Count.Shed, net.ended[idle[1]], net.address[net.lastConn()])
	}
}

// Two nodes in one process, with the settings of two customers, share nothing.
func TestNodesShareNothing(t *testing.T) {
	n, net := newNode(1)
	shared := &settings.Settings{
		Settings: balance.Settings{
			Types: []balance.ServiceType{
				{SetupTarget: 300 * ms, MessageTarget: 60 * ms},
				{SetupTarget: 90 * ms, MessageTarget: 9 * ms},
			},
			Nodes:       1,
			MaxConnects: 1,
			AskWithin:   second,
			ColdTime:    second,
		},
		ServiceTypeIndex: map[string]int{"toll": 1, "chat": 0},
		ConnectTimeouts:  []int64{0, 0},
	}
	before := fmt.Sprintf("%+v", *shared)
	otherNet := &fakeNet{
		address:     map[uint64]string{},
		in:          net.in,
		out:         net.out,
		sent:        map[uint64]string{},
		ended:       map[uint64]string{},
		up:          map[uint64]bool{},
		endedUnread: map[uint64]bool{},
		room:        100,
	}
	other := New(shared, Config{Discovery: "d9"}, otherNet)
	if fmt.Sprintf("%+v", *shared) != before {
		t.Error("a node changed the settings given to it:", *shared)
	}
	other.Begin(startTime, discovery.List{})
	if n.settings.ListsPushed || !other.settings.ListsPushed || n.config.Discovery == other.config.Discovery ||
		len(n.hosts) == len(other.hosts) {
		t.Fatal("the nodes share settings or hosts")
	}
	c := net.openClient("OPEN 1 2 c=toll,d=2000\r\n")
	net.expect(t, c, "ERR\r\n", "shut")
	net.receive(net.openClient(""), "half a line") // takes a ring of the first node
	if own, _ := n.ringBudget.InUse(); own != 1 {
		t.Fatal(own)
	}
	if others, _ := other.ringBudget.InUse(); others != 0 {
		t.Fatal("the memory of one node counts at the other", others)
	}
	net.run(1, func() { n.Drain() })
	if other.drainAt != 0 || other.stopAt != 0 || other.Count.Accepted != 0 || len(other.logKinds) != 0 {
		t.Fatal("a command to one node took effect at the other")
	}
}

// A connect or call that fails because the system has no descriptor left is repeated after an idle client has been
// shed. It does not count against the host or discovery.
func TestFailureForWantOfDescriptorsIsRetried(t *testing.T) {
	n, net := newNode(1)
	net.openClient("PING\r\n")
	idle := net.openClient("PING\r\n")
	net.run(shedAfterPing, func() {})
	c := net.openClient(openLine)
	h := net.lastConn()
	net.run(1, func() { n.Ended(h, syscall.EMFILE) })
	if net.lastConn() != h || len(net.ids) < 2 || net.ended[idle] != "part" || net.sent[c] != "" || n.upstreamCount != 1 {
		t.Fatal("not repeated with a shed client's descriptor", net.ended[idle], net.sent[c], n.upstreamCount)
	}
	net.receive(net.connectLast(), "UP 1\r\n")
	net.expect(t, c, "UP 1\r\n", "")
	c = net.openClient(openLine)
	h = net.lastConn()
	for range maxRedials + 1 { // no client is left to be shed
		net.run(1, func() { n.Ended(h, syscall.ENFILE) })
	}
	net.expect(t, c, "BUSY\r\n", "shut")
	if n.hosts["s-0"].Avoided(n.now) {
		t.Fatal("the failure counts against the host")
	}
	net.openClient("PING\r\n")
	net.run(shedAfterPing, func() {})
	for n.pendingCall == nil {
		net.run(ms, func() {})
	}
	failed, call, shed := n.Count.CallsFailed, n.pendingCall, n.Count.Shed
	net.run(1, func() { n.Ended(call.id, syscall.EMFILE) })
	if n.pendingCall != call || n.Count.CallsFailed != failed || n.Count.Shed != shed+1 {
		t.Fatal("the call failed for want of a descriptor", n.Count.CallsFailed, n.Count.Shed)
	}
}

// Two zones that the settings don't name must not be taken for one, because a repeat that is recognised in one zone is not
// recognised in the other.
func TestUnnamedZonesDiffer(t *testing.T) {
	n, net := newNode(0)
	update := entries("ready", 4)
	for i, zone := range []string{"x", "y z", "x", ""} {
		update.Entries[i].Zone = zone
	}
	net.run(1, func() { n.applyList(balance.ListComplete, update) })
	at := func(i int) int { return n.hosts[fmt.Sprintf("s-%d", i)].Zone }
	if at(0) == at(1) || at(0) != at(2) || at(3) == at(0) || at(0) >= 0 || at(1) >= 0 || at(3) >= 0 {
		t.Fatal(at(0), at(1), at(2), at(3))
	}
	if n.listEntry(n.hosts["s-1"]).Zone != "y z" {
		t.Fatal("handed over as another zone")
	}
}
