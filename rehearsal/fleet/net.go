package fleet

// path is the network path between a node and a zone, given by index. Clients are in no zone.
type path struct{ node, zone int }

const noZone = -1

// zoneLink holds the faults in force on the network between a zone and the other zones.
type zoneLink struct {
	cuts       int   // number of cuts in force
	addedDelay int64 // in microseconds
}

// maxRetransmitDelay bounds the time until data lost in a cut is retransmitted, in microseconds.
const maxRetransmitDelay = 200_000

// crossesZones reports whether a path leads from one zone to another.
func (w *World) crossesZones(p path) bool {
	return p.zone != noZone && p.zone != w.nodes[p.node].zone
}

// isCut reports whether a cut is in force on a path.
func (w *World) isCut(p path) bool {
	return w.crossesZones(p) && (w.zoneLinks[p.zone].cuts > 0 || w.zoneLinks[w.nodes[p.node].zone].cuts > 0)
}

// drawLatency draws the one-way delay of one message on a path, in microseconds.
func (w *World) drawLatency(p path) int64 {
	base := w.script.Network.SameZone.Microseconds()
	switch {
	case p.zone == noZone:
		base = w.script.Network.Client.Microseconds()
	case w.crossesZones(p):
		base = w.script.Network.CrossZone.Microseconds() + w.zoneLinks[p.zone].addedDelay + w.zoneLinks[w.nodes[p.node].zone].addedDelay
	}
	jitter := w.script.Network.Jitter
	return max(int64(float64(base)*(1-jitter+2*jitter*w.networkRand.Float64())), 1)
}

// transmit runs action when what is sent now arrives, which is after everything sent in the same direction before. During
// a cut it waits for the end of the cut.
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
	w.Schedule(at, action)
}

// resumeAfterCut transmits what has waited for the end of a cut.
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
