package fleet

// path is the path between a node and a zone; clients are in none.
type path struct{ node, zone int }

const noZone = -1

// zoneLink is what the network does to the ways between a zone and the others.
type zoneLink struct {
	cuts       int // cuts in force
	addedDelay int64
}

// crossesZones tells whether a way leads from one zone to another.
func (w *World) crossesZones(p path) bool {
	return p.zone != noZone && p.zone != w.nodes[p.node].zone
}

func (w *World) isCut(p path) bool {
	return w.crossesZones(p) && (w.zoneLinks[p.zone].cuts > 0 || w.zoneLinks[w.nodes[p.node].zone].cuts > 0)
}

// drawLatency is one way's time for one message.
func (w *World) drawLatency(p path) int64 {
	base := w.script.Network.SameZone.Us()
	switch {
	case p.zone == noZone:
		base = w.script.Network.Client.Us()
	case w.crossesZones(p):
		base = w.script.Network.CrossZone.Us() + w.zoneLinks[p.zone].addedDelay + w.zoneLinks[w.nodes[p.node].zone].addedDelay
	}
	jitter := w.script.Network.Jitter
	return max(int64(float64(base)*(1-jitter+2*jitter*w.networkRand.Float64())), 1)
}

// transmit brings something over a way, after all that was sent on it before. What meets a cut waits for its end.
func (w *World) transmit(c *Conn, d *direction, action func()) {
	if d.blocked || w.isCut(c.path) {
		d.waiting = append(d.waiting, action)
		if !d.blocked {
			d.blocked = true
			w.blockedDirections = append(w.blockedDirections, d)
			w.blockedConns = append(w.blockedConns, c)
		}
		return
	}
	at := w.now + w.drawLatency(c.path)
	if d.used {
		at = max(at, d.lastArrival)
	}
	d.lastArrival, d.used = at, true
	w.At(at, action)
}

// resumeAfterCut lets go what waited for the end of a cut.
func (w *World) resumeAfterCut() {
	directions, conns := w.blockedDirections, w.blockedConns
	w.blockedDirections, w.blockedConns = nil, nil
	for i, d := range directions {
		c := conns[i]
		if w.isCut(c.path) {
			w.blockedDirections, w.blockedConns = append(w.blockedDirections, d), append(w.blockedConns, c)
			continue
		}
		d.blocked = false
		waiting := d.waiting
		d.waiting = nil
		d.lastArrival, d.used = max(d.lastArrival, w.now+w.networkRand.Int64N(maxRetransmitDelay)), true
		for _, action := range waiting {
			w.transmit(c, d, action)
		}
	}
}

const maxRetransmitDelay = 200_000 // what was lost is sent again within this
