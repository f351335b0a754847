package fleet

import (
	"strconv"
	"strings"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

// badClient is one that keeps no protocol.
type badClient struct {
	world *World
	kind  string
	index int // in the record
}

func (w *World) scheduleBadClients(b scenario.BadClients) {
	until := b.At.Us() + b.For.Us()
	if b.For == 0 {
		until = w.run.Length
	}
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		zone := w.badClientRand.IntN(len(w.nodesByZone))
		if b.Zone != "" {
			zone = w.zoneIndex(b.Zone)
		}
		if n := w.pickNode(zone, w.badClientRand); n != nil {
			w.run.Bad = append(w.run.Bad, record.BadClient{Kind: b.Kind, Node: n.index, At: w.now, Within: 3 * second})
			w.openToNode(&badClient{w, b.Kind, len(w.run.Bad) - 1}, n.index, clientAddress(1<<22+uint64(len(w.run.Bad))))
		}
		w.after(int64(w.badClientRand.ExpFloat64()/b.Rate*1e6), next)
	}
	next()
}

func (b *badClient) accepted(*Conn) {}

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

func (b *badClient) receiveLine(c *Conn, line []byte) {
	result := &b.world.run.Bad[b.index]
	if strings.HasPrefix(string(line), "UP ") {
		result.Served = true
	}
	b.recordOutcome()
}

func (b *badClient) closed(c *Conn, _ bool) {
	b.recordOutcome()
	b.world.closePeerSide(c, false)
}

func (b *badClient) recordOutcome() {
	if result := &b.world.run.Bad[b.index]; result.AnsweredAt == 0 {
		result.AnsweredAt = b.world.now
		n := b.world.nodes[result.Node]
		result.Excused = !n.running
	}
}
