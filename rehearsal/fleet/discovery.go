package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"coursewinch/rehearsal/record"
)

// journalRecord is one change in discovery's journal.
type journalRecord struct {
	revision int64
	entry    hostEntry
}

// hostEntry is the published state of a host.
type hostEntry struct {
	host     int    // index
	state    string // ready, draining or gone; empty if it was never listed
	bootedAt int64  // 0: long ago
	since    int64  // when the host entered the state
}

// subscription is one node's connection to discovery.
type subscription struct {
	conn         *Conn
	answered     bool  // the response has started
	sentRevision int64 // last revision that the node has, or is being sent; -1: none
	closed       bool
	lastSentAt   int64
	target       string // address that the node has dialed
}

// discovery is the service that publishes the hosts, with a delay, to the nodes that subscribe.
type discovery struct {
	world         *World
	random        *rand.Rand
	journal       []journalRecord
	entries       []hostEntry // current entry by host
	subscriptions []*subscription
	outages       int     // number of outages in force
	refusalShare  float64 // share of calls refused because of faults
	busyUntil     int64   // when it has answered the calls that wait
	addresses     map[string]bool
}

// isListening reports whether discovery accepts connections at an address.
func (d *discovery) isListening(addr string) bool { return d.outages == 0 && d.addresses[addr] }

// scheduleUpdate adds the current state of a host to the journal after the time that discovery takes to notice it, which
// varies by up to 40 %.
func (d *discovery) scheduleUpdate(h *host) {
	e := hostEntry{h.index, h.listed, h.bootedAt, d.world.now}
	if h.listed == "" {
		e.state = "gone"
	}
	wait := float64(d.world.script.Discovery.NoticeDelay) * (0.6 + 0.8*d.random.Float64())
	d.world.after(int64(wait), func() { d.apply(e) })
}

// apply adds an entry to the journal.
func (d *discovery) apply(e hostEntry) {
	if old := d.entries[e.host]; e.since < old.since {
		return // a newer entry is known already
	}
	d.entries[e.host] = e
	d.journal = append(d.journal, journalRecord{int64(len(d.journal) + 1), e})
}

// accepted implements peer.
func (d *discovery) accepted(c *Conn) {
	d.world.nodes[c.Node].lastAskedAt = d.world.now
	sub := &subscription{conn: c, target: c.Addr}
	c.peerState = sub
	d.subscriptions = append(d.subscriptions, sub)
}

// connected implements peer.
func (d *discovery) connected(*Conn) {}

// closed implements peer.
func (d *discovery) closed(c *Conn, _ bool) {
	if sub, ok := c.peerState.(*subscription); ok {
		d.forget(sub)
	}
}

// forget removes a subscription.
func (d *discovery) forget(sub *subscription) {
	sub.closed = true
	d.world.nodes[sub.conn.Node].lastAskedAt = d.world.now
	d.subscriptions = slices.DeleteFunc(d.subscriptions, func(o *subscription) bool { return o == sub })
}

// receiveLine implements peer. It reads an HTTP request, of which only the request line matters.
func (d *discovery) receiveLine(c *Conn, line []byte) {
	sub, ok := c.peerState.(*subscription)
	if !ok || sub.closed {
		return
	}
	text := string(line)
	switch {
	case strings.HasPrefix(text, "GET "):
		sub.sentRevision = -1
		if _, v, ok := strings.Cut(text, "after="); ok {
			v, _, _ = strings.Cut(v, " ")
			if n, err := strconv.ParseInt(v, 10, 64); err == nil {
				sub.sentRevision = n
			}
		}
	case text == "":
		d.answerCall(sub)
	}
}

// answerCall answers a call, or refuses it. Calls are answered one after another at the script's discovery.calls.
func (d *discovery) answerCall(sub *subscription) {
	settings := d.world.script.Discovery
	if d.random.Float64() < settings.RefusalShare+d.refusalShare {
		d.world.sendToNode(sub.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", nil)
		d.world.closePeerSide(sub.conn, false)
		d.forget(sub)
		return
	}
	wait := int64(unlimitedCallTime)
	if settings.CallRate > 0 {
		d.busyUntil = max(d.busyUntil, d.world.now) + int64(1e6/settings.CallRate)
		wait = d.busyUntil - d.world.now
	}
	d.world.after(wait, func() {
		if sub.closed || d.outages > 0 {
			return
		}
		sub.answered = true
		all := sub.sentRevision < 0 || sub.sentRevision > int64(len(d.journal))
		var entries []hostEntry
		if all {
			for _, e := range d.entries {
				if e.state != "" && e.state != "gone" {
					entries = append(entries, e)
				}
			}
		} else {
			entries = d.entriesSince(sub.sentRevision)
		}
		d.world.sendToNode(sub.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", nil)
		d.sendList(sub, entries, all)
	})
}

// entriesSince returns the entries added to the journal after a revision.
func (d *discovery) entriesSince(revision int64) (entries []hostEntry) {
	for _, change := range d.journal[revision:] {
		entries = append(entries, change.entry)
	}
	return entries
}

// sendList sends a list to a subscriber as one chunk: all entries or those that have changed.
func (d *discovery) sendList(sub *subscription, entries []hostEntry, all bool) {
	sub.sentRevision, sub.lastSentAt = int64(len(d.journal)), d.world.now
	text := d.world.listJSON(sub.conn.Node, sub.sentRevision, entries, all) + "\n"
	revision := sub.sentRevision
	d.world.sendToNode(sub.conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text),
		func() { d.world.applyList(sub.conn.Node, revision, entries, all) })
}

// sendUpdates sends changes, or a heartbeat, to all subscribers.
func (d *discovery) sendUpdates() {
	for _, sub := range d.subscriptions {
		switch {
		case !sub.answered:
		case sub.sentRevision < int64(len(d.journal)):
			d.sendList(sub, d.entriesSince(sub.sentRevision), false)
		case d.world.now-sub.lastSentAt >= heartbeatInterval:
			sub.lastSentAt = d.world.now
			d.world.sendToNode(sub.conn, "1\r\n\n\r\n", nil)
		}
	}
}

// breakSubscriptions breaks the connections of all subscribers.
func (d *discovery) breakSubscriptions() {
	for _, sub := range slices.Clone(d.subscriptions) {
		d.world.closePeerSide(sub.conn, true)
		d.forget(sub)
	}
}

const (
	unlimitedCallTime  = 1000       // microseconds to answer a call if the call rate is not limited
	heartbeatInterval  = 2 * second // between messages on an idle subscription
	askDiscoveryWithin = 6 * second // time within which nodes have to call discovery, as in their settings
)

// applyMissedUpdates treats the current entries as reported to nodes that have neither had a subscription nor called
// discovery for askDiscoveryWithin, since they could have known them.
func (w *World) applyMissedUpdates() {
	watching := map[int]bool{}
	for _, sub := range w.discovery.subscriptions {
		watching[sub.conn.Node] = true
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

// listJSON returns a list in the format of discovery, with the addresses that a node uses.
func (w *World) listJSON(node int, revision int64, entries []hostEntry, all bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"rev":%d,"all":%t,"targets":[`, revision, all)
	for i, e := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		h := w.hosts[e.host]
		bootMs := int64(0)
		if e.bootedAt > 0 {
			bootMs = (w.epoch + e.bootedAt) / 1000
		}
		fmt.Fprintf(&b, `{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":%q,"capacity_hint":%.3f,"boot_ms":%d}`,
			h.uid, w.endpoint(node, h), w.script.Zones[h.zone], h.model, h.zone, e.state, h.cores*h.speed/w.meanCapacity, bootMs)
	}
	b.WriteString("]}")
	return b.String()
}

// applyList records that a node has received a list.
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

// applyEntry records that a node has received an entry, or has started with it. The record notes it if it says that the
// host has become ready, or is so no longer, and at each restart.
func (w *World) applyEntry(n *nodeState, e hostEntry, restart bool) {
	old := n.hostView[e.host]
	n.hostView[e.host] = e
	if up := e.state == "ready"; restart || up != (old.state == "ready") {
		w.run.Notices = append(w.run.Notices, record.HostNotice{Node: n.index, Host: e.host, At: w.now, Up: up, InitialList: restart})
	}
}
