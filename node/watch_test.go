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
	lineEvery  = 2 * second // a watch says so much at least
	askedSoon  = 200 * ms   // after one failed call, at the latest
	askedLater = 400 * ms   // after two
	askedLast  = 3800 * ms  // after many
)

// Guards the operators' bound as a sum of what is waited for at the most: silence noticed, a call, that call lost, another,
// answered; and a call refused after many, the next one answered, or lost and the one after it.
func TestChangesAreTakenInWithinTheBound(t *testing.T) {
	if sum := watchQuiet + askedSoon + callAgain + askedLater + wayThere; sum > toldWithin {
		t.Error("a silent watch and a lost call:", sum)
	}
	if toldWithin != 6*second { // by the operators' terms
		t.Error("told within", toldWithin)
	}
	if watchQuiet <= lineEvery {
		t.Error("a line that comes in time counts as missing")
	}
	for _, nodes := range []int{1, 6, 80, 350} { // what the sums go by is what the module does
		n, w := ready(1)
		n.set.Nodes = nodes
		n.turnedOff = true
		if sum := n.set.RefusedMost() + n.patience() + wayThere; sum > toldWithin || n.patience() < callAgain {
			t.Error(nodes, "nodes: many refused, then one answered at the last moment:", sum, n.patience())
		}
		n.turnedOff = false
		failed := 0
		for range 12 {
			for from := n.now; n.out == nil; {
				if n.now-from > askedLast || failed == 1 && n.now-from > askedSoon || failed == 2 && n.now-from > askedLater {
					t.Fatalf("%d nodes: %d us after %d failed calls", nodes, n.now-from, failed)
				}
				w.turn(10*ms, func() {})
			}
			w.turn(1, func() { n.lost(n.out, "refused") })
			failed++
		}
	}
}

// Thirty-two nodes gave their calls up after 1.5 s each, and a discovery that answers some five a second worked for calls
// that nobody waited for any more: half of the nodes had no watch after 17 s (throng+brink at kingston-replay's settings).
func TestCallsWaitTheirTurnWhereOthersWereTurnedAway(t *testing.T) {
	n, w := ready(1)
	n.set.Nodes = 32
	for n.out == nil {
		w.turn(ms, func() {})
	}
	w.bytes(w.connect(), "HTTP/1.1 503 Service Unavailable\r\n\r\n")
	for n.out == nil {
		w.turn(ms, func() {})
	}
	call := w.connect()
	w.turn(3*second, func() {})
	if n.out == nil || n.out.id != call || w.ended[call] != "" {
		t.Fatal("given up while discovery still has it in its queue")
	}
	w.bytes(call, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	if n.watch == nil || n.watch.id != call {
		t.Fatal("no watch by the answer that came late")
	}
	w.turn(1, func() { n.lost(n.watch, "ended") })
	for n.out == nil {
		w.turn(ms, func() {})
	}
	call = n.out.id
	if w.turn(callAgain, func() {}); n.out != nil && n.out.id == call {
		t.Fatal("a lost call is waited for where discovery turned nobody away")
	}
	n.turnedOff = true
	if n.Follow("d9"); n.turnedOff {
		t.Fatal("what one discovery did counts at another")
	}
	first := w.connect()
	w.turn(1, func() { n.Ended(first, syscall.ECONNRESET) })
	for n.out == nil {
		w.turn(ms, func() {})
	}
	call = w.connect()
	if w.turn(3*second, func() {}); w.ended[call] != "" {
		t.Fatal("given up though discovery had reset another")
	}
	if w.turn(callWaits-3*second, func() {}); w.ended[call] != "close" {
		t.Fatal("waited for without end")
	}
}

// A change in the worst moment, step by step: the watch falls silent right before it, the next call is lost, and the one
// after that brings it.
func TestAChangeBehindASilentWatch(t *testing.T) {
	n, w := ready(2)
	first := w.connect()
	w.bytes(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	from := n.now
	calls := n.Count.Calls
	for n.Count.Calls < calls+2 {
		if n.now-from > toldWithin {
			t.Fatal("no second call")
		}
		w.turn(10*ms, func() {})
	}
	w.bytes(w.connect(), watchHead+chunk(`{"rev":4,"all":false,"targets":[{"uid":"s-1","state":"draining"}]}`))
	if n.hosts["s-1"].State != balance.Draining || n.now-from > toldWithin {
		t.Fatal(n.hosts["s-1"].State, n.now-from)
	}
}

// Guards against a watch that speaks and tells nothing: single bytes, a line that never ends, a list that is never whole.
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
		n, w := ready(1)
		first := w.connect()
		w.bytes(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
		for i := range int(watchQuiet / (100 * ms)) {
			w.bytes(first, more(i))
			w.turn(100*ms-1, func() {})
		}
		if w.turn(100*ms, func() {}); n.Count.CallsFailed != 1 {
			t.Error(name, "keeps a watch")
		}
	}
	n, w := ready(1)
	first := w.connect()
	w.bytes(first, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	for range 5 {
		w.turn(lineEvery, func() {})
		w.bytes(first, chunk(""))
	}
	if n.Count.CallsFailed != 0 {
		t.Fatal("a watch with its empty lines is given up")
	}
}

// Guards hosts of a discovery that began anew: its versions are lower, and what it says has changed is not all.
func TestDiscoveryThatBeganAnew(t *testing.T) {
	n, w := ready(2)
	first := w.connect()
	w.bytes(first, watchHead+chunk(`{"rev":41,"all":false,"targets":[]}`))
	w.turn(1, func() { n.Ended(first, nil) })
	w.turn(250*ms, func() {})
	call := w.connect()
	if !strings.Contains(w.sent[call], "after=41 ") {
		t.Fatal(w.sent[call])
	}
	w.bytes(call, watchHead+chunk(`{"rev":2,"all":false,"targets":[]}`))
	if call = w.connect(); strings.Contains(w.sent[call], "after=") {
		t.Fatal("its versions are taken for the old ones")
	}
	w.bytes(call, watchHead+chunk(`{"rev":2,"all":true,"targets":[{"uid":"s-0","endpoint":"h0","state":"ready"}]}`))
	if len(n.hosts) != 1 || n.rev != 2 || n.watch == nil {
		t.Fatal(len(n.hosts), n.rev)
	}
}

// Discovery moves, moves back, and old watches and calls end meanwhile, in any order: what is watched in the end is the
// last address, and one call is out at most.
func TestDiscoveryMovesTwice(t *testing.T) {
	n, w := ready(1)
	old := w.connect()
	w.bytes(old, watchHead+chunk(`{"rev":30,"all":false,"targets":[]}`))
	w.turn(1, func() { n.Follow("d2") })
	call := w.connect()
	w.turn(1, func() { n.Follow("") }) // back, while the call is out
	if w.ended[call] != "close" || w.ended[old] != "" || n.out != nil {
		t.Fatal("the old watch is not gone on with", w.ended[call], w.ended[old])
	}
	w.turn(1, func() { n.Follow("d2") })
	w.turn(1, func() { n.Ended(old, nil) }) // while the second call is out
	second := w.last()
	w.turn(300*ms, func() {})
	if w.last() != second || n.out == nil || n.watch != nil {
		t.Fatal("two calls")
	}
	w.connect()
	w.bytes(second, watchHead+chunk(`{"rev":1,"all":true,"targets":[{"uid":"s-7","endpoint":"h7","state":"ready"}]}`))
	if n.hosts["s-7"] == nil || n.hosts["s-0"] != nil || n.watch == nil || n.watch.from != "d2" {
		t.Fatal(n.hosts)
	}
	w.turn(1, func() { n.Follow("d3") })
	third := w.connect()
	w.bytes(second, chunk(`{"rev":2,"all":false,"targets":[{"uid":"s-7","state":"draining"}]}`)) // in the instant of the switch
	w.bytes(third, watchHead+chunk(`{"rev":9,"all":true,"targets":[{"uid":"s-8","endpoint":"h8","state":"ready"}]}`))
	if w.ended[second] != "close" || n.from != "d3" || n.rev != 9 || n.hosts["s-7"] != nil {
		t.Fatal(w.ended[second], n.from, n.rev)
	}
	if w.turn(1, func() { n.Received(second) }); n.from != "d3" {
		t.Fatal("a list of the old address after one of the new")
	}
}

func pushed(hosts int) (*Node, *wires) {
	n, w := ready(hosts)
	set := *n.set
	set.OnRequest, set.Grace = false, 400*ms
	w2 := &wires{to: w.to, in: w.in, out: w.out, sent: w.sent, ended: w.ended, up: w.up, gone: w.gone, room: 100}
	w2.n = New(&set, Config{}, w2)
	w2.n.Begin(begun, named("ready", hosts))
	return w2.n, w2
}

// Guards hosts that drained while a process was away: where lists are pushed, they count as told from its first moment.
func TestPushedListsAreWaitedForFirst(t *testing.T) {
	n, w := pushed(2)
	front := w.client("PING\r\n")
	if n.out == nil {
		w.turn(1, func() {})
	}
	watch := w.ids[0]
	c := w.client(asks)
	if w.want(t, front, "NO\r\n", ""); n.links != 0 || w.sent[c] != "" {
		t.Fatal("sent by a list that may be old", n.links, w.sent[c])
	}
	w.up[watch] = true
	w.turn(1, func() { n.Connected(watch) })
	w.bytes(watch, watchHead+chunk(`{"rev":3,"all":false,"targets":[{"uid":"s-0","state":"draining"}]}`))
	if w.to[w.last()] != "h1" || n.links != 1 {
		t.Fatal("not sent on by the list that came", w.to[w.last()])
	}
	w.bytes(front, "PING\r\n")
	w.want(t, front, "NO\r\nPONG\r\n", "")

	n, w = pushed(1) // discovery says nothing
	c = w.client("OPEN 1 2 c=chat,d=1000\r\n")
	w.turn(500*ms, func() {})
	w.want(t, c, "BUSY\r\n", "shut")
	late := w.client("OPEN 1 2 c=chat,d=9000\r\n")
	gone := w.client("OPEN 1 2 c=chat,d=9000\r\n")
	w.turn(1, func() { n.Ended(gone, nil) })
	w.turn(heldFirst, func() {})
	if n.links != 1 || n.flows.held != 1 || w.sent[late] != "" {
		t.Fatal("waits for ever", n.links, n.flows.held)
	}
	w.bytes(w.client("PING\r\n"), "")
	if w.sent[w.last()] != "PONG\r\n" {
		t.Fatal("not ready by the list that it has")
	}
}

// Guards clients and the front of a node whose version is rolled where lists are pushed: what was handed on is no old list.
func TestAnHeirWaitsForNoFirstList(t *testing.T) {
	old, p := running(t, 1)
	s, _ := old.n.Heir(p)
	n, w := pushed(0)
	young := New(n.set, Config{}, w)
	young.set.Pushed = true
	w.n = young
	young.Inherit(&pipe{t: t}, s)
	young.Begin(n.now, discovery.List{})
	w.turn(joinTime, func() {})
	w.want(t, w.client("PING\r\n"), "PONG\r\n", "")
	if w.client(asks); young.links != 1 || len(young.held) != 0 {
		t.Fatal("held", young.links, len(young.held))
	}
}

// Guards the time without a call where lists are pushed: what discovery has at its return counts at once.
func TestPushedListsAreAskedForWithinTheGrace(t *testing.T) {
	n, w := pushed(1)
	w.turn(1, func() {})
	for range 20 {
		w.turn(1, func() { n.lost(n.out, "refused") })
		from := n.now
		for n.out == nil {
			w.turn(ms, func() {})
		}
		if n.now-from > n.set.Grace/2+2*ms {
			t.Fatal("no call is out for", n.now-from)
		}
	}
}

// Guards a fleet that starts while discovery is down, with no list to begin with: its front is told yes, and clients no.
func TestReadyWithoutAnyList(t *testing.T) {
	for _, push := range []bool{false, true} {
		_, w := ready(0)
		if push {
			_, w = pushed(0)
		}
		front := w.client("PING\r\n")
		w.want(t, front, "NO\r\n", "")
		w.turn(readyBy, func() {})
		w.bytes(front, "PING\r\n")
		w.want(t, front, "NO\r\nPONG\r\n", "")
		w.want(t, w.client(asks), "BUSY\r\n", "shut")
	}
	if readyBy >= 10*second {
		t.Fatal("nine in ten are to be ready by then")
	}
}

// Guards the call that is due, SIGHUP's new address and probes against idle clients that hold every descriptor.
func TestCallsFindAPlace(t *testing.T) {
	n, w := ready(1)
	var idle []uint64
	for range 5 {
		idle = append(idle, w.client("PING\r\n"))
	}
	w.turn(idled, func() {})
	w.room = 0
	w.turn(1, func() { n.Follow("d2") })
	if n.Count.Shed == 0 || w.ended[idle[1]] != "part" || w.to[w.last()] != "d2" {
		t.Fatal(n.Count.Shed, w.ended[idle[1]], w.to[w.last()])
	}
}

// Guards two nodes in one process, with settings of two customers, against each other.
func TestNodesShareNothing(t *testing.T) {
	n, w := ready(1)
	shared := &settings.Settings{Settings: balance.Settings{Types: []balance.ServiceType{{SetupTarget: 300 * ms, MessageTarget: 60 * ms},
		{SetupTarget: 90 * ms, MessageTarget: 9 * ms}}, Nodes: 1, MaxConnects: 1, AskWithin: second, ColdTime: second}, Names: map[string]int{"toll": 1, "chat": 0},
		Limits: []int64{0, 0}}
	was := fmt.Sprintf("%+v", *shared)
	w2 := &wires{to: map[uint64]string{}, in: w.in, out: w.out, sent: map[uint64]string{}, ended: map[uint64]string{}, up: map[uint64]bool{}, gone: map[uint64]bool{}, room: 100}
	other := New(shared, Config{Discovery: "d9"}, w2)
	if fmt.Sprintf("%+v", *shared) != was {
		t.Error("a node changed settings that were handed to it:", *shared)
	}
	other.Begin(begun, discovery.List{})
	if n.set.Pushed || !other.set.Pushed || n.conf.Discovery == other.conf.Discovery || len(n.hosts) == len(other.hosts) {
		t.Fatal("settings or hosts of one at the other")
	}
	c := w.client("OPEN 1 2 c=toll,d=2000\r\n")
	w.want(t, c, "ERR\r\n", "shut")
	w.bytes(w.client(""), "half a line") // a ring of one's
	if mine, _ := n.rings.Held(); mine != 1 {
		t.Fatal(mine)
	}
	if theirs, _ := other.rings.Held(); theirs != 0 {
		t.Fatal("memory of one counts at the other", theirs)
	}
	w.turn(1, func() { n.Drain() })
	if other.drainAt != 0 || other.stopAt != 0 || other.Count.Accepted != 0 || len(other.logs) != 0 {
		t.Fatal("what one was told, the other does")
	}
}

// Guards hosts and discovery against the blame for descriptors that the system had none of, and a flow that was taken and a
// call that is due against idle clients that hold them all.
func TestNoDescriptorIsNobodysFault(t *testing.T) {
	n, w := ready(1)
	w.client("PING\r\n")
	idle := w.client("PING\r\n")
	w.turn(idled, func() {})
	c := w.client(asks)
	h := w.last()
	w.turn(1, func() { n.Ended(h, syscall.EMFILE) })
	if w.last() != h || len(w.ids) < 2 || w.ended[idle] != "part" || w.sent[c] != "" || n.links != 1 {
		t.Fatal("not tried again with another's place", w.ended[idle], w.sent[c], n.links)
	}
	w.bytes(w.connect(), "UP 1\r\n")
	w.want(t, c, "UP 1\r\n", "")
	c = w.client(asks)
	h = w.last()
	for range mostRedials + 1 { // and nobody is left to be let go
		w.turn(1, func() { n.Ended(h, syscall.ENFILE) })
	}
	w.want(t, c, "BUSY\r\n", "shut")
	if n.hosts["s-0"].Avoided(n.now) {
		t.Fatal("the host is to blame")
	}
	w.client("PING\r\n")
	w.turn(idled, func() {})
	for n.out == nil {
		w.turn(ms, func() {})
	}
	failed, call, shed := n.Count.CallsFailed, n.out, n.Count.Shed
	w.turn(1, func() { n.Ended(call.id, syscall.EMFILE) })
	if n.out != call || n.Count.CallsFailed != failed || n.Count.Shed != shed+1 {
		t.Fatal("the call is lost for want of a descriptor", n.Count.CallsFailed, n.Count.Shed)
	}
}

// Guards effects against two zones that the settings don't name being taken for one: what is known as a repeat in one is
// not in the other.
func TestUnnamedZonesAreTwo(t *testing.T) {
	n, w := ready(0)
	l := named("ready", 4)
	for i, zone := range []string{"x", "y z", "x", ""} {
		l.Entries[i].Zone = zone
	}
	w.turn(1, func() { n.list(balance.Whole, l) })
	at := func(i int) int { return n.hosts[fmt.Sprintf("s-%d", i)].Zone }
	if at(0) == at(1) || at(0) != at(2) || at(3) == at(0) || at(0) >= 0 || at(1) >= 0 || at(3) >= 0 {
		t.Fatal(at(0), at(1), at(2), at(3))
	}
	if n.entry(n.hosts["s-1"]).Zone != "y z" {
		t.Fatal("handed on as another zone")
	}
}
