package node

import (
	"bytes"
	"fmt"
	"log"
	"net/netip"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/lines"
	"coursewinch/settings"
)

// fakeNet is a Net without sockets. It collects what the node sends on each connection.
type fakeNet struct {
	node        *Node
	ids         []uint64
	address     map[uint64]string
	in          map[uint64]*lines.Ring
	out         map[uint64]*lines.Ring
	sent        map[uint64]string
	ended       map[uint64]string // how the node closed the connection
	up          map[uint64]bool
	endedUnread map[uint64]bool // the other side has closed, and this has not been reported to the node
	room        int
	clients     int            // clients opened so far
	from        netip.AddrPort // address of the clients
}

func (net *fakeNet) register(id uint64, to string, in, out *lines.Ring) {
	net.ids = append(net.ids, id)
	net.address[id], net.in[id], net.out[id] = to, in, out
}
func (net *fakeNet) Dial(id uint64, to string, in, out *lines.Ring) { net.register(id, to, in, out) }
func (net *fakeNet) RingsChanged(id uint64) {
	for r := net.out[id]; net.up[id] && r.Len() > 0; {
		net.sent[id] += string(r.Contiguous())
		r.Discard(len(r.Contiguous()))
	}
}
func (net *fakeNet) CloseWrite(id uint64) { net.ended[id] = "shut" }
func (net *fakeNet) Close(id uint64)      { net.ended[id] = "close" }
func (net *fakeNet) Reset(id uint64)      { net.ended[id] = "reset" }
func (net *fakeNet) Room() int            { return net.room }
func (net *fakeNet) CloseDetached(id uint64) {
	net.RingsChanged(id)
	net.ended[id] = "part"
}
func (net *fakeNet) PeerClosed(id uint64) bool { return net.endedUnread[id] }

const startTime = 1_000 * second

// newNode returns a node that knows hosts s-0, s-1, ... and sends no probes.
func newNode(hosts int) (*Node, *fakeNet) { return newNodeWith(hosts, Config{}) }

// newNodeWith is newNode with a configuration.
func newNodeWith(hosts int, conf Config) (*Node, *fakeNet) {
	nodeSettings := &settings.Settings{
		Settings: balance.Settings{
			Types:        []balance.ServiceType{{SetupTarget: 300 * ms, MessageTarget: 60 * ms}},
			Nodes:        1,
			MaxConnects:  3,
			OnRequest:    true,
			AskWithin:    10 * second,
			ColdFrom:     0.1,
			ColdTime:     20 * second,
			FallMultiple: 3,
		},
		ServiceTypeIndex:  map[string]int{"chat": 0},
		DialTimeout:       250 * ms,
		MaxConnectTimeout: 2 * second,
		ConnectTimeouts:   []int64{0},
	}
	net := &fakeNet{
		address:     map[uint64]string{},
		in:          map[uint64]*lines.Ring{},
		out:         map[uint64]*lines.Ring{},
		sent:        map[uint64]string{},
		ended:       map[uint64]string{},
		up:          map[uint64]bool{},
		endedUnread: map[uint64]bool{},
		room:        100,
	}
	net.node = New(nodeSettings, conf, net)
	net.node.Begin(startTime, entries("ready", hosts))
	return net.node, net
}

// entries returns a list of hosts s-0, s-1, ... with addresses h0, h1, ...
func entries(state string, hosts int) (l discovery.List) {
	for i := range hosts {
		l.Entries = append(l.Entries, discovery.Entry{UID: fmt.Sprintf("s-%d", i), Endpoint: fmt.Sprintf("h%d", i),
			State: state, Size: 1})
	}
	return l
}

func (net *fakeNet) run(after int64, in func()) { net.node.RunIteration(net.node.now+after, in) }

// receive delivers text on a connection.
func (net *fakeNet) receive(id uint64, text string) {
	net.run(1, func() {
		net.in[id].Put([]byte(text))
		net.node.Received(id)
	})
}

func (net *fakeNet) lastConn() uint64 { return net.ids[len(net.ids)-1] }

// connectLast makes the connection that was dialled last come up.
func (net *fakeNet) connectLast() uint64 {
	id := net.lastConn()
	net.up[id] = true
	net.run(1, func() { net.node.Connected(id) })
	return id
}

// openClient opens a client's connection and sends a text on it.
func (net *fakeNet) openClient(text string) uint64 {
	var id uint64
	net.clients++ // each request has an id of its own
	text = strings.Replace(text, "OPEN 1 ", fmt.Sprintf("OPEN %d ", net.clients), 1)
	net.run(1, func() {
		var in, out *lines.Ring
		id, in, out, _ = net.node.Accept(net.from)
		net.register(id, "", in, out)
		net.up[id] = true
	})
	if text != "" {
		net.receive(id, text)
	}
	return id
}

const openLine = "OPEN 1 2 c=chat,d=2000\r\n"

// establish returns the connections of a new established flow.
func (net *fakeNet) establish() (client, host uint64) {
	client = net.openClient(openLine)
	host = net.connectLast()
	net.receive(host, "UP 7\r\n")
	return client, host
}

func (net *fakeNet) expect(t *testing.T, id uint64, sent, ended string) {
	t.Helper()
	if net.sent[id] != sent || net.ended[id] != ended {
		t.Fatalf("sent %q, ended %q; want %q, %q", net.sent[id], net.ended[id], sent, ended)
	}
}

// Lines may arrive in parts, or together with the answer. Each is passed on once it is whole, in order and only once.
func TestAnswerAndLinesInOneRead(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(openLine)
	h := net.connectLast()
	net.expect(t, h, "OPEN 1 2 c=chat,d=1994\r\n", "") // answerMargin is 5 ms, and 2 us have passed
	net.receive(h, "U")
	net.receive(h, "P 7\r\nLOAD 9\r\nx")
	net.expect(t, c, "UP 7\r\nLOAD 9\r\n", "")
	net.receive(c, "a\r\nb")
	net.expect(t, h, "OPEN 1 2 c=chat,d=1994\r\na\r\n", "")
	net.receive(h, "y\r\n")
	net.receive(c, "c\r\n")
	net.expect(t, c, "UP 7\r\nLOAD 9\r\nxy\r\n", "")
	net.expect(t, h, "OPEN 1 2 c=chat,d=1994\r\na\r\nbc\r\n", "")
	if n.Count.Requests != 1 || n.Answers[0].Success != 1 {
		t.Fatal(n.Count)
	}
}

// A connect that fails at once is reported to the module in the next iteration, because the module must not be called from
// within its own call.
func TestConnectFailsInNextIteration(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(openLine)
	n.Move(&n.conns.get(net.lastConn()).flow.Flow) // not established, so this does nothing
	net.run(0, func() {
		net.node.Ended(net.lastConn(), unix.ECONNREFUSED)
		if net.sent[c] != "BUSY\r\n" {
			t.Error("the only host refused the connection and the client has no answer")
		}
	})
}

// A move closes both connections at once, but the module learns of the flow's end in the next iteration only. A second move
// of the same flow does nothing.
func TestMoveIsReportedInNextIteration(t *testing.T) {
	n, net := newNode(1)
	c, h := net.establish()
	f := n.conns.get(c).flow
	n.Move(&f.Flow)
	n.Move(&f.Flow)
	if n.flows.count != 1 {
		t.Fatal("the flow was removed within the module's own call")
	}
	net.expect(t, c, "UP 7\r\nMOVE\r\n", "shut")
	if net.ended[h] != "shut" {
		t.Fatal(net.ended[h])
	}
	net.run(0, func() {})
	if n.flows.count != 0 || n.Count.Moves != 1 {
		t.Fatal(n.flows.count, n.Count)
	}
}

// A connect that failed before its request was sent has to be told from one that the host may have run: the module
// retries the first for any flow.
func TestConnectErrorOutcome(t *testing.T) {
	for _, c := range []struct {
		stage Stage
		cause error
		want  balance.Outcome
	}{
		{Dialing, errTimeout, balance.Unreachable},
		{Dialing, unix.ECONNRESET, balance.Unreachable},
		{AwaitingAnswer, errTimeout, balance.Overdue},
		{AwaitingAnswer, unix.ECONNRESET, balance.Severed},
		{AwaitingAnswer, errEnded, balance.Severed},
		{AwaitingAnswer, errBusy, balance.Saturated},
		{AwaitingAnswer, errAnswer, balance.Errored},
		{Dialing, errHostLeaving, balance.Saturated},
	} {
		if got := (&ConnectError{c.stage, c.cause}).Outcome(); got != c.want {
			t.Errorf("%v %v: %v", c.stage, c.cause, got)
		}
	}
}

// A flow whose connect failed gets another one at another host, with the first connection closed before it. When all
// hosts have failed the client gets one answer.
func TestConnectsRunOneAfterAnother(t *testing.T) {
	n, net := newNode(2)
	c := net.openClient(openLine)
	first := net.connectLast()
	net.receive(first, "ERR\r\n")
	second := net.connectLast()
	if first == second || net.ended[first] != "close" || net.address[first] == net.address[second] {
		t.Fatal("no second connect, or the first connection is still open")
	}
	net.receive(second, "what is this\r\n") // an invalid line counts as an error
	net.expect(t, c, "BUSY\r\n", "shut")    // both hosts have failed
	if n.Count.Connects != 2 || n.flows.count != 0 {
		t.Fatal(n.Count)
	}
}

// A connection that does not come up within the dial timeout leads to a further connect. A host that does not answer costs
// the flow the rest of its time, and then its client gets an answer.
func TestDialsAndAnswersTimeOut(t *testing.T) {
	n, net := newNode(2)
	c := net.openClient(openLine)
	first := net.lastConn()
	net.run(250*ms, func() {})
	if net.lastConn() == first || net.ended[first] != "close" {
		t.Fatal("no further connect after the dial timeout")
	}
	net.connectLast()
	net.run(2*second, func() {})
	net.expect(t, c, "BUSY\r\n", "shut")
	if n.flows.count != 0 {
		t.Fatal("the flow was not removed")
	}
}

// A client that leaves before its answer leaves no flow and no connection to the host behind.
func TestClientLeavesBeforeAnswer(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(openLine)
	h := net.connectLast()
	net.run(1, func() { n.Ended(c, nil) })
	if net.ended[c] != "close" || net.ended[h] != "close" || n.flows.count != 0 || n.conns.count != 1 { // the watch
		t.Fatal(net.ended, n.flows.count, n.conns.count)
	}
}

// When a host ends its connection, its last bytes, even part of a line, reach the client, and the client's connection ends in
// the same way: in order, or with a reset.
func TestCloseReachesOtherSide(t *testing.T) {
	for _, c := range []struct {
		last string
		err  error
		want string
	}{{"BYE\r\n", nil, "shut"}, {"", nil, "shut"}, {"", unix.ECONNRESET, "reset"}, {"part", nil, "shut"}} {
		n, net := newNode(1)
		client, host := net.establish()
		net.run(1, func() {
			net.in[host].Put([]byte(c.last))
			n.Received(host)
			n.Ended(host, c.err)
		})
		net.expect(t, client, "UP 7\r\n"+c.last, c.want)
		if n.flows.count != 0 || net.ended[host] != "close" {
			t.Fatal(n.flows.count, net.ended[host])
		}
	}
}

// A host that goes silent never closes its connections. A flow is moved when the oldest line passed to the host has had no
// answer for hostSilenceTimeout.
func TestSilentHostLosesItsFlows(t *testing.T) {
	n, net := newNode(1)
	n.deadlines.cancel(&n.messageTimeTimer) // otherwise the module moves the flow earlier
	c, h := net.establish()
	net.receive(c, "M 1\r\n")
	net.receive(h, "M 1\r\n")
	net.run(6*second, func() {})
	if n.flows.count != 1 {
		t.Fatal("moved without an unanswered line")
	}
	net.receive(c, "M 2\r\n")
	net.run(2*second, func() {})
	net.receive(c, "M 3\r\n") // the timeout counts from the first line
	net.run(3*second, func() {})
	net.expect(t, c, "UP 7\r\nM 1\r\nMOVE\r\n", "shut")
	if n.flows.count != 0 || n.Count.SilentHosts != 1 {
		t.Fatal(n.Count)
	}
}

// A move that comes within a line of the host waits for the end of that line.
func TestMoveNeverSplitsALine(t *testing.T) {
	n, net := newNode(1)
	c, h := net.establish()
	net.receive(h, strings.Repeat("x", lines.RingSize)) // longer than any line may be, but passed on
	n.Move(&n.conns.get(c).flow.Flow)
	if strings.Contains(net.sent[c], "MOVE") || net.ended[c] != "" {
		t.Fatal("MOVE sent within a line, or connection closed within a line")
	}
	net.receive(h, "x\r\nLOAD 1\r\n")
	if !strings.HasSuffix(net.sent[c], "x\r\nLOAD 1\r\nMOVE\r\n") || net.ended[c] != "shut" || n.flows.count != 0 {
		t.Fatal("not moved after the line", net.ended[c], n.flows.count)
	}
}

// A move waits for the host's lines that wait for room at a slow client.
func TestMoveFollowsQueuedLines(t *testing.T) {
	n, net := newNode(1)
	c, h := net.establish()
	net.up[c] = false // the client reads nothing
	line, expected := strings.Repeat("y", 3000)+"\r\n", "UP 7\r\n"
	for n.conns.get(h).in.Len() == 0 { // until a line finds no room
		net.receive(h, line)
		expected += line
	}
	n.Move(&n.conns.get(c).flow.Flow)
	if net.ended[c] != "" {
		t.Fatal("closed with lines waiting")
	}
	net.up[c] = true
	net.run(1, func() {
		net.RingsChanged(c)
		n.Sent(c)
	})
	if net.expect(t, c, expected+"MOVE\r\n", "shut"); n.flows.count != 0 {
		t.Fatal(n.flows.count)
	}
}

// Lines that don't fit into the client's ring stay in the host's and follow when there is room.
func TestFullRingHoldsLinesBack(t *testing.T) {
	n, net := newNode(1)
	c, h := net.establish()
	net.up[c] = false // the client reads nothing
	line := strings.Repeat("y", 3000) + "\r\n"
	for range 4 {
		net.receive(h, line)
	}
	if net.in[h].Free() > 3002 {
		t.Fatal("the host's lines are not held back")
	}
	net.up[c] = true
	for range 4 {
		net.RingsChanged(c)
		net.run(1, func() { n.Sent(c) })
	}
	net.expect(t, c, "UP 7\r\n"+strings.Repeat(line, 4), "")
}

// A host that begins to drain while a connect to it is being dialled gets no request.
func TestNoRequestToDrainingHost(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(openLine)
	net.run(1, func() { n.applyList(balance.ListChanges, entries("draining", 1)) })
	h := net.connectLast()
	net.expect(t, h, "", "close")
	net.expect(t, c, "BUSY\r\n", "shut")
}

// A list changes the hosts that are known already, and a complete list removes those that it does not name.
func TestListUpdatesHosts(t *testing.T) {
	n, net := newNode(2)
	h := n.hosts["s-1"]
	update := entries("ready", 2)
	update.Rev = 8
	update.Entries[1].Endpoint, update.Entries[1].BootMs = "h9", startTime/ms
	net.run(1, func() { n.applyList(balance.ListChanges, update) })
	if n.hosts["s-1"] != h || h.addr != "h9" || h.Started != startTime || h.Hash != hash("s-1") {
		t.Fatal(h)
	}
	net.run(1, func() { n.applyList(balance.ListComplete, entries("ready", 1)) })
	if len(n.hosts) != 1 || h.State != balance.Removed {
		t.Fatal("a host absent from the whole list was kept")
	}
}

// chunk returns an HTTP chunk with a line of text.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text) }

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// A silent watch leads to a new call, but stays open and is listened to until the new call has brought a list.
func TestSilentWatchIsReplaced(t *testing.T) {
	n, net := newNode(1)
	old := net.connectLast()
	net.receive(old, watchHead+chunk(`{"rev":3,"all":false,"targets":[]}`))
	net.run(watchSilenceTimeout-1, func() {})
	if net.lastConn() != old || n.Count.CallsFailed != 0 {
		t.Fatal("replaced too early")
	}
	net.run(1, func() {})
	net.run(250*ms, func() {})
	call := net.connectLast()
	if net.ended[old] != "" || call == old || n.Count.CallsFailed != 1 {
		t.Fatal("no new call, or the old watch was closed", net.ended[old])
	}
	net.receive(old, chunk(`{"rev":4,"all":false,"targets":[{"uid":"s-0","state":"draining"}]}`))
	if n.hosts["s-0"].State != balance.Draining {
		t.Fatal("a late list of the old watch was ignored")
	}
	net.receive(call, watchHead+chunk(`{"rev":5,"all":false,"targets":[]}`))
	if net.ended[old] != "close" || n.watch == nil || n.listRev != 5 {
		t.Fatal("the new call did not replace the old watch", n.listRev)
	}
}

// When the address of discovery changes, the old watch is kept until the new address has brought a list. Versions of
// the old address are not used at the new one.
func TestOldWatchKeptUntilNewDiscoveryAnswers(t *testing.T) {
	n, net := newNode(1)
	old := net.connectLast()
	net.receive(old, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(`{"rev":30,"all":false,"targets":[]}`))
	net.run(1, func() { n.SetDiscovery("d2") })
	net.run(1, func() { n.SetDiscovery("d3") }) // the last address counts
	call := net.connectLast()
	if net.address[call] != "d3" || net.ended[old] != "" || strings.Contains(net.sent[call], "after=") {
		t.Fatal(net.address[call], net.ended[old], net.sent[call])
	}
	net.run(callTimeout, func() {}) // the call hangs: the next one follows well before maxChangeDelay
	net.run(250*ms, func() {})
	again := net.connectLast()
	if again == call || net.ended[call] != "close" || net.ended[old] != "" {
		t.Fatal("the hanging call was not replaced, or the old watch was closed")
	}
	net.receive(again, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
		chunk(`{"rev":2,"all":true,"targets":[{"uid":"s-9","endpoint":"h9","state":"ready"}]}`))
	if net.ended[old] != "close" || net.ended[call] != "close" || n.hosts["s-9"] == nil || n.hosts["s-0"] != nil {
		t.Fatal("the list of the new address was not taken over in full")
	}
	net.run(1, func() { n.Ended(again, nil) }) // so soon that it counts as the second refusal
	net.run(2*second, func() {})
	if net.connectLast(); !strings.Contains(net.sent[net.lastConn()], "after=2 ") {
		t.Fatal(net.sent[net.lastConn()])
	}
}

// A rejoining flow whose connect fails tries the same host again, and no other.
func TestRejoiningFlowRetries(t *testing.T) {
	n, net := newNode(2)
	c := net.openClient("OPEN 1 2 c=chat,d=2000,at=s-1\r\n")
	first := net.lastConn()
	net.run(1, func() { n.Ended(first, unix.ECONNREFUSED) })
	net.run(rejoinInterval, func() {})
	h := net.connectLast()
	if h == first || net.address[h] != "h1" {
		t.Fatal(net.address[h])
	}
	net.receive(h, "UP 3\r\n")
	net.expect(t, c, "UP 3\r\n", "")
}

// Probes of a host use one connection. It is closed when a probe gets no answer in time.
func TestProbes(t *testing.T) {
	n, net := newNode(1)
	n.settings.Probing = true
	h := n.hosts["s-0"]
	n.Probe(&h.Server)
	id := net.connectLast()
	net.receive(id, "PONG\r\n")
	n.Probe(&h.Server)
	net.expect(t, id, "PING\r\nPING\r\n", "")
	net.run(300*ms, func() {})
	if net.ended[id] != "close" || n.Count.ProbesFailed != 1 {
		t.Fatal("a probe without an answer did not fail")
	}
}

// Clients that send nothing or don't end their line are closed, so that they don't hold descriptors. The connection of the
// front-end load balancer, which sends PING, stays.
func TestFirstLineTimeout(t *testing.T) {
	n, net := newNode(1)
	silent, half, front, later := net.openClient(""), net.openClient("OPEN 1"), net.openClient("PING\r\n"), net.openClient("PING\r\n")
	net.run(firstLineTimeout, func() {})
	net.expect(t, silent, "BUSY\r\n", "shut") // its request may be on its way and was not tried
	net.expect(t, half, "ERR\r\n", "shut")
	net.receive(later, "PIN")
	net.run(firstLineTimeout, func() {})
	net.expect(t, later, "PONG\r\nERR\r\n", "shut")
	net.run(60*second, func() {})
	net.expect(t, front, "PONG\r\n", "")
	if n.flows.count != 0 {
		t.Fatal(n.Count)
	}
}

// Clients that request nothing are shed, oldest first, so that ordinary clients, connects and probes find descriptors.
func TestIdleCrowdIsShed(t *testing.T) {
	n, net := newNode(1)
	net.room = reservedDescriptors + 2
	front := net.openClient("PING\r\n")
	idle := net.openClient("PING\r\n")
	old := net.openClient("")
	net.run(shedAfterSilence, func() {})
	young := net.openClient("")
	net.run(1, func() {
		if !n.CanAccept() {
			t.Error("no client was shed for a new one")
		}
	})
	net.expect(t, old, "BUSY\r\n", "part")
	net.expect(t, young, "", "")
	net.room = 0
	net.receive(net.openClient(""), openLine)
	if net.expect(t, idle, "PONG\r\nBUSY\r\n", "part"); net.ended[front] != "" || n.Count.Shed != 2 {
		t.Fatal(net.ended, n.Count)
	}
}

// A client that reads slowly is not shed while its last line is unsent.
func TestUnsentLastLineIsNotShed(t *testing.T) {
	n, net := newNode(1)
	c, _ := net.establish()
	net.up[c] = false // the client reads nothing
	net.run(1, func() { n.Move(&n.conns.get(c).flow.Flow) })
	net.run(shedAfterSilence, func() {})
	net.run(1, func() {
		for n.shedOne() {
		}
	})
	if net.ended[c] != "shut" {
		t.Fatal("shed with MOVE unsent:", net.ended[c])
	}
}

// A node without descriptors sends nothing, and what it did not send must not count against hosts.
func TestFailureForWantOfDescriptorsDoesNotCountAgainstHosts(t *testing.T) {
	n, net := newNode(2)
	c := net.openClient(openLine)
	net.room = 0
	net.run(1, func() { n.Ended(net.lastConn(), unix.ECONNREFUSED) })
	net.run(1, func() {})
	net.expect(t, c, "BUSY\r\n", "shut")
	if n.Count.Connects != 1 || n.upstreamCount != 0 {
		t.Fatal(n.Count)
	}
	h := n.hosts["s-0"]
	n.Probe(&h.Server)
	net.run(1, func() {})
	if h.probeSentAt != 0 || h.probe != nil {
		t.Fatal("the unsent probe is still outstanding")
	}
}

// A request id can't be used again, even after the end of its flow, because the host may not know of that end yet.
func TestRequestIDsAreUnique(t *testing.T) {
	n, net := newNode(1)
	net.establish()
	for range 2 {
		c := net.openClient("")
		net.receive(c, openLine)
		net.expect(t, c, "ERR\r\n", "shut")
		net.run(1, func() { n.Ended(net.ids[1], nil) })
	}
	for i := range uint64(3 * defaultMaxIDs) {
		n.recentIDs.add(i)
	}
	if len(n.recentIDs.known) != defaultMaxIDs || len(n.recentIDs.ring) != defaultMaxIDs || !n.recentIDs.add(hash("1")) {
		t.Fatal("the number of remembered ids is not bounded")
	}
}

// A client that sends data before its answer is rejected, and no host receives that data.
func TestDataBeforeAnswerIsRejected(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(openLine + "OPEN 3 4 c=chat,d=9\r\n")
	net.expect(t, c, "ERR\r\n", "shut")
	c = net.openClient(openLine)
	h := net.connectLast()
	net.receive(c, "M")
	net.expect(t, c, "ERR\r\n", "shut")
	if net.ended[h] != "close" || n.flows.count != 0 || n.upstreamCount != 0 {
		t.Fatal(net.ended[h], n.flows.count, n.upstreamCount)
	}
}

// Many PING lines in one read don't keep the loop busy, and a PING line that finds no room for its answer is answered later.
func TestManyPingsAtOnce(t *testing.T) {
	n, net := newNode(1)
	c := net.openClient(strings.Repeat("PING\r\n", maxPingsPerRead+1))
	net.expect(t, c, strings.Repeat("PONG\r\n", maxPingsPerRead)+"ERR\r\n", "shut")
	c = net.openClient("")
	net.out[c].Put(make([]byte, lines.RingSize)) // the client reads nothing for a while
	net.up[c] = false
	net.receive(c, "PING\r\n")
	net.out[c].Discard(lines.RingSize)
	net.up[c] = true
	net.run(1, func() { n.Sent(c) })
	net.expect(t, c, "PONG\r\n", "")
}

// A client that goes on sending after its last line is closed, so that it does not keep the loop busy.
func TestEndlessSenderIsClosed(t *testing.T) {
	_, net := newNode(1)
	c := net.openClient("frob\r\n")
	for range maxDrainedBytes/lines.RingSize + 1 {
		net.receive(c, strings.Repeat("x", lines.RingSize))
	}
	net.expect(t, c, "ERR\r\n", "close")
}

// Invalid lines are logged at most once a second, so that the loop does not block on its log. Groups of flows that ended
// without being established are forgotten.
func TestFloodsAreBounded(t *testing.T) {
	n, net := newNode(1)
	var text bytes.Buffer
	log.SetOutput(&text)
	defer log.SetOutput(os.Stderr)
	n.settings.HasGroups = true
	for i := range 500 {
		net.openClient("frob\r\n")
		c := net.openClient(fmt.Sprintf("OPEN 1 2 c=chat,d=2000,g=%d\r\n", i))
		net.run(1, func() { n.Ended(c, nil) })
	}
	net.run(second, func() {})
	if got := text.String(); strings.Count(got, "bad_line") != 2 || !strings.Contains(got, " count=499") {
		t.Fatal(got)
	}
	net.run(second, func() {})
	if len(n.logKinds) != 0 || len(n.groups) != 0 {
		t.Fatal(n.logKinds, n.groups)
	}
}

// While fewer descriptors are free than the reserve, a request is answered BUSY at once.
func TestBusyWithoutDescriptors(t *testing.T) {
	n, net := newNode(1)
	net.room = reservedDescriptors - 1
	net.expect(t, net.openClient(openLine), "BUSY\r\n", "shut")
	if n.Count.NoDescriptor != 1 || n.flows.count != 0 {
		t.Fatal(n.Count)
	}
}

// A panic closes the connection that caused it and no other.
func TestPanicClosesOneConnection(t *testing.T) {
	n, net := newNode(1)
	a, _ := net.establish()
	b, h := net.establish()
	n.conns.get(b).flow.Type = nil
	n.conns.get(b).flow.host = nil
	net.receive(b, "M\r\n")
	net.receive(h, "M\r\n")
	if n.Count.Panics == 0 || net.ended[h] != "close" || net.ended[a] != "" {
		t.Fatal(n.Count, net.ended)
	}
	net.receive(a, "M\r\n")
}

// A stop moves clients evenly over the time, and not at once: clients moved early might come back here or wait for a
// node that is not back yet, and all at once would overload it.
func TestStopSpreadsMoves(t *testing.T) {
	n, net := newNode(1)
	for range 20 {
		net.establish()
	}
	n.Stop()
	net.run((n.stopDeadline-moveMargin-n.now)/firstMoveDivisor-1, func() {})
	if n.Count.Moves != 0 {
		t.Fatal(n.Count.Moves, "clients moved too early")
	}
	half := (n.stopDeadline - moveMargin - n.now) / 2
	for from := n.now; n.now < from+half; {
		net.run(moveInterval, func() {})
	}
	if n.Count.Moves < 8 || n.Count.Moves > 12 {
		t.Fatal(n.Count.Moves, "clients moved by half of the time; want 8 to 12")
	}
	for !n.Done() && n.now < n.stopDeadline {
		net.run(moveInterval, func() {
			for id, how := range net.ended { // clients that were moved close their connection
				if how == "shut" {
					n.Ended(id, nil)
				}
			}
		})
	}
	if n.Count.Moves != 20 || n.now > n.stopDeadline-moveMargin+2*moveInterval {
		t.Fatal(n.Count.Moves, n.stopDeadline-n.now)
	}
}

// Requests that come after a stop get an answer before the end.
func TestLateFlowsAreAnsweredAtStop(t *testing.T) {
	n, net := newNode(1)
	n.Stop()
	net.run(400*ms, func() {})
	c := net.openClient("OPEN 1 2 c=chat,d=9000\r\n")
	net.connectLast()
	for !n.Done() {
		net.run(moveInterval, func() {})
	}
	net.expect(t, c, "BUSY\r\n", "shut")
}

// The id of a removed value does not find the value that uses its slot next.
func TestStaleSlotIDs(t *testing.T) {
	var s slots[int]
	a := s.add(new(int))
	s.remove(a)
	b := s.add(new(int))
	if uint32(a) != uint32(b) || s.get(a) != nil || s.get(b) == nil {
		t.Fatal(a, b)
	}
}

// Due deadlines are taken in the order of their times, without those that were cancelled or set to a later time.
func TestDeadlinesInOrder(t *testing.T) {
	var h deadlines
	var all [50]deadline
	for i := range all {
		h.set(&all[i], int64(i*37%50))
	}
	h.set(&all[3], 99)
	h.cancel(&all[4])
	last := int64(-1)
	for _, d := range h.takeDue(60, nil) {
		if d.at < last || d == &all[3] || d == &all[4] {
			t.Fatal(d.at, last)
		}
		last = d.at
	}
	if at, ok := h.next(); at != 99 || !ok {
		t.Fatal(at, ok)
	}
}
