package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"coursewinch/rehearsal/record"
)

// journalRecord is one entry of discovery's journal.
type journalRecord struct {
	revision int64
	entry    hostEntry
}

// hostEntry is what a list says of a host.
type hostEntry struct {
	host     int
	state    string // ready, draining or gone
	bootedAt int64
	since    int64 // when it became true
}

// watch is one node's connection to discovery.
type watch struct {
	conn         *Conn
	answered     bool
	sentRevision int64 // the last version told
	closed       bool
	lastSentAt   int64
	target       string
}

// discovery names the hosts, late, to those who watch.
type discovery struct {
	world        *World
	random       *rand.Rand
	journal      []journalRecord
	entries      []hostEntry // by host; state "" before it ever was listed
	watches      []*watch
	outages      int
	refusalShare float64
	busyUntil    int64 // when it has dealt with the calls that wait
	addresses    map[string]bool
}

func (d *discovery) isListening(addr string) bool { return d.outages == 0 && d.addresses[addr] }

// scheduleUpdate puts what became of a host into the journal, after the time that discovery takes to notice.
func (d *discovery) scheduleUpdate(h *host) {
	e := hostEntry{h.index, h.listed, h.bootedAt, d.world.now}
	if h.listed == "" {
		e.state = "gone"
	}
	wait := float64(d.world.script.Discovery.NoticeDelay) * (0.6 + 0.8*d.random.Float64())
	d.world.after(int64(wait), func() { d.apply(e) })
}

func (d *discovery) apply(e hostEntry) {
	if old := d.entries[e.host]; e.since < old.since {
		return // what is newer is known already
	}
	d.entries[e.host] = e
	d.journal = append(d.journal, journalRecord{int64(len(d.journal) + 1), e})
}

func (d *discovery) accepted(c *Conn) {
	d.world.nodes[c.Node].lastAskedAt = d.world.now
	t := &watch{conn: c, target: c.Addr}
	c.peerState = t
	d.watches = append(d.watches, t)
}

func (d *discovery) connected(*Conn) {}

func (d *discovery) closed(c *Conn, _ bool) {
	if t, ok := c.peerState.(*watch); ok {
		d.forget(t)
	}
}

func (d *discovery) forget(t *watch) {
	t.closed = true
	d.world.nodes[t.conn.Node].lastAskedAt = d.world.now
	d.watches = slices.DeleteFunc(d.watches, func(o *watch) bool { return o == t })
}

// receiveLine reads a request: its first line tells all.
func (d *discovery) receiveLine(c *Conn, line []byte) {
	t, ok := c.peerState.(*watch)
	if !ok || t.closed {
		return
	}
	text := string(line)
	switch {
	case strings.HasPrefix(text, "GET "):
		t.sentRevision = -1
		if _, v, ok := strings.Cut(text, "after="); ok {
			v, _, _ = strings.Cut(v, " ")
			if n, err := strconv.ParseInt(v, 10, 64); err == nil {
				t.sentRevision = n
			}
		}
	case text == "":
		d.answerCall(t)
	}
}

// answerCall deals with calls one after another.
func (d *discovery) answerCall(t *watch) {
	s := d.world.script.Discovery
	if d.random.Float64() < s.RefusalShare+d.refusalShare {
		d.world.sendToNode(t.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", nil)
		d.world.closePeerSide(t.conn, false)
		d.forget(t)
		return
	}
	wait := int64(1000)
	if s.CallRate > 0 {
		d.busyUntil = max(d.busyUntil, d.world.now) + int64(1e6/s.CallRate)
		wait = d.busyUntil - d.world.now
	}
	d.world.after(wait, func() {
		if t.closed || d.outages > 0 {
			return
		}
		t.answered = true
		all := t.sentRevision < 0 || t.sentRevision > int64(len(d.journal))
		var entries []hostEntry
		if all {
			for _, e := range d.entries {
				if e.state != "" && e.state != "gone" {
					entries = append(entries, e)
				}
			}
		} else {
			entries = d.entriesSince(t.sentRevision)
		}
		d.world.sendToNode(t.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", nil)
		d.sendList(t, entries, all)
	})
}

func (d *discovery) entriesSince(revision int64) (entries []hostEntry) {
	for _, c := range d.journal[revision:] {
		entries = append(entries, c.entry)
	}
	return entries
}

// sendList writes one list of a watch.
func (d *discovery) sendList(t *watch, entries []hostEntry, all bool) {
	t.sentRevision, t.lastSentAt = int64(len(d.journal)), d.world.now
	text := d.world.listJSON(t.conn.Node, t.sentRevision, entries, all) + "\n"
	revision := t.sentRevision
	d.world.sendToNode(t.conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text), func() { d.world.applyList(t.conn.Node, revision, entries, all) })
}

// sendUpdates tells all who watch what has changed.
func (d *discovery) sendUpdates() {
	for _, t := range d.watches {
		switch {
		case !t.answered:
		case t.sentRevision < int64(len(d.journal)):
			d.sendList(t, d.entriesSince(t.sentRevision), false)
		case d.world.now-t.lastSentAt >= 2*second:
			t.lastSentAt = d.world.now
			d.world.sendToNode(t.conn, "1\r\n\n\r\n", nil)
		}
	}
}

// breakWatches ends all watches.
func (d *discovery) breakWatches() {
	for _, t := range slices.Clone(d.watches) {
		d.world.closePeerSide(t.conn, true)
		d.forget(t)
	}
}

const askDiscoveryWithin = 6 * second // what the nodes' settings say

// applyMissedUpdates tells nodes that have neither watched nor asked for so long what they could have heard.
func (w *World) applyMissedUpdates() {
	watching := map[int]bool{}
	for _, t := range w.discovery.watches {
		watching[t.conn.Node] = true
	}
	for _, n := range w.nodes {
		if !n.running || watching[n.index] || w.now-n.lastAskedAt < askDiscoveryWithin {
			continue
		}
		for _, e := range w.discovery.entries {
			if e.state != "" && e != n.hostView[e.host] {
				w.applyEntry(n, e, false)
			}
		}
	}
}

// listJSON is a list in discovery's form, as one node sees it.
func (w *World) listJSON(node int, revision int64, entries []hostEntry, all bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"rev":%d,"all":%t,"targets":[`, revision, all)
	for i, e := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		h := w.hosts[e.host]
		boot := int64(0)
		if e.bootedAt > 0 {
			boot = (w.epoch + e.bootedAt) / 1000
		}
		fmt.Fprintf(&b, `{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":%q,"capacity_hint":%.3f,"boot_ms":%d}`,
			h.uid, w.endpoint(node, h), w.script.Zones[h.zone], h.model, h.zone, e.state, h.cores*h.speed/w.meanCapacity, boot)
	}
	b.WriteString("]}")
	return b.String()
}

// applyList is that a node has a list: what it says counts from now on.
func (w *World) applyList(node int, revision int64, entries []hostEntry, all bool) {
	n := w.nodes[node]
	n.revision = revision
	if all {
		missing := slices.Clone(n.hostView)
		for _, e := range entries {
			missing[e.host].state = ""
		}
		for index, e := range missing {
			if e.state != "" && e.state != "gone" {
				w.applyEntry(n, hostEntry{index, "gone", e.bootedAt, w.now}, false)
			}
		}
	}
	for _, e := range entries {
		w.applyEntry(n, e, false)
	}
}

func (w *World) applyEntry(n *nodeState, e hostEntry, restart bool) {
	old := n.hostView[e.host]
	n.hostView[e.host] = e
	if up := e.state == "ready"; restart || up != (old.state == "ready") {
		w.run.Told = append(w.run.Told, record.Told{Node: n.index, Host: e.host, At: w.now, Up: up, Restart: restart})
	}
}
