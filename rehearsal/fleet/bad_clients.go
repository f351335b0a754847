package fleet

import (
	"strconv"
	"strings"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

// badClient is a client that violates the protocol.
type badClient struct {
	world *World
	kind  string
	index int // in the record's list of bad clients
}

// firstBadClient is the number from which on the addresses of bad clients are taken.
const firstBadClient = 1 << 22

// badClientAnswerTime is the time within which a node has to answer a bad client or close its connection.
const badClientAnswerTime = 3 * second

// scheduleBadClients opens connections of bad clients at random intervals, at the rate of the script.
func (w *World) scheduleBadClients(group scenario.BadClients) {
	until := group.At.Microseconds() + group.For.Microseconds()
	if group.For == 0 {
		until = w.run.Length
	}
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		zone := w.badClientRand.IntN(len(w.nodesByZone))
		if group.Zone != "" {
			zone = w.zoneIndex(group.Zone)
		}
		if n := w.pickNode(zone, w.badClientRand); n != nil {
			w.run.BadClients = append(w.run.BadClients, record.BadClient{Kind: group.Kind, Node: n.index, At: w.now,
				AnswerWithin: badClientAnswerTime})
			w.openToNode(&badClient{w, group.Kind, len(w.run.BadClients) - 1}, n.index, clientAddress(firstBadClient+uint64(len(w.run.BadClients))))
		}
		w.after(int64(w.badClientRand.ExpFloat64()/group.Rate*1e6), next)
	}
	next()
}

// accepted implements peer.
func (b *badClient) accepted(*Conn) {}

// connected implements peer: the client sends what its kind is about.
func (b *badClient) connected(c *Conn) {
	serviceType := b.world.script.Types[0].Name
	text := map[string]string{
		"garbage": "\x00\xff\x17 \x80 \x01 what is this\r\n",
		"endless": strings.Repeat("x", 16<<10),
		"mute":    "",
		"half":    "OPEN 1234 56",
		"no_type": "OPEN bad" + strconv.Itoa(b.index) + " k c=nothing-such,d=1000\r\n",
		"no_time": "OPEN bad" + strconv.Itoa(b.index) + " k c=" + serviceType + ",d=soon\r\n",
		"many":    strings.Repeat("OPEN bad"+strconv.Itoa(b.index)+" k c="+serviceType+",d=1000\r\n", 100),
		"early":   "OPEN bad" + strconv.Itoa(b.index) + " k c=" + serviceType + ",d=1000\r\nGET / HTTP/1.1\r\n",
		"huge":    "OPEN bad" + strconv.Itoa(b.index) + " k c=" + serviceType + ",d=1000,h=" + strings.Repeat("9", 6000) + "\r\n",
	}[b.kind]
	if text != "" {
		b.world.sendToNode(c, text, nil)
	}
}

// receiveLine implements peer.
func (b *badClient) receiveLine(c *Conn, line []byte) {
	result := &b.world.run.BadClients[b.index]
	if strings.HasPrefix(string(line), "UP ") {
		result.Served = true
	}
	b.recordOutcome()
}

// closed implements peer.
func (b *badClient) closed(c *Conn, _ bool) {
	b.recordOutcome()
	b.world.closePeerSide(c, false)
}

// recordOutcome records the first answer or the close. It is excused if the node does not run.
func (b *badClient) recordOutcome() {
	if result := &b.world.run.BadClients[b.index]; result.AnsweredAt == 0 {
		result.AnsweredAt = b.world.now
		n := b.world.nodes[result.Node]
		result.Excused = !n.running
	}
}
