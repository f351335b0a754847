package overload

import (
	"encoding/binary"
	"math"
	"math/bits"

	"coursewinch/balance"
)

// A report tells the other nodes the load demanded of this node by benefit per load, the mean loads of service types
// and, for each host that it uses, its own load there, the capacity and flags. Figures are sent on a logarithmic scale
// with steps of 0.03 %. Integers are little endian:
//
//	1 byte   kind of the payload
//	4 bytes  hash of the zone
//	4 bytes  set of the benefit buckets that follow
//	2 bytes  demand, for each of these
//	1 byte   number of service types
//	3 bytes  mean load and number of samples, for each of these
//	2 bytes  number of hosts
//	9 bytes  hash, load, capacity and flags, for each of these
const (
	reportKind       = 1
	reportHeaderSize = 1 + 4 + 4 + 1 + 2 // bytes of a report without any entries
	typeEntrySize    = 2 + 1             // bytes
	hostEntrySize    = 4 + 2 + 2 + 1     // bytes

	logSteps    = 3000          // steps of the logarithmic scale for a factor of e
	maxEncoded  = 65000         // largest figure sent
	maxAccepted = logSteps * 21 // largest figure accepted: e to the 21st, the work of a thousand cores and more
)

// Flags of a host in a report.
const (
	flagSaturated  = 1 << 0 // it was late within the last two seconds, and no good observation followed
	flagRejected   = 1 << 1 // it rejected a flow within the last second
	flagDown       = 1 << 2 // connects to it failed within the last two seconds, and no good observation followed
	flagDraining   = 1 << 3 // the list of servers says so
	flagSetupFails = 1 << 4 // set-ups on it failed within the last two seconds, and no good one followed
	flagCold       = 1 << 5 // it has started recently
	knownFlags     = flagSetupFails | flagCold | flagSaturated | flagRejected | flagDown | flagDraining
)

// encodeLog converts a figure to the logarithmic scale.
func encodeLog(x float64) uint16 {
	return uint16(min(max(math.Round(logSteps*math.Log1p(max(x, 0))), 0), maxEncoded))
}

// decodeLog converts a figure from the logarithmic scale.
func decodeLog(v uint16) float64 { return math.Expm1(float64(v) / logSteps) }

// EncodeReport encodes the report to the other nodes in at most maxBytes bytes. If not all hosts fit, the next report
// goes on with the rest.
func (c *Controller) EncodeReport(maxBytes int) []byte {
	p := make([]byte, 0, maxBytes)
	p = binary.LittleEndian.AppendUint32(append(p, reportKind), c.zone)
	bucketSet := uint32(0)
	for b, d := range c.ownDemand {
		if encodeLog(d) > 0 {
			bucketSet |= 1 << b
		}
	}
	p = binary.LittleEndian.AppendUint32(p, bucketSet)
	for b := range c.ownDemand {
		if bucketSet&(1<<b) != 0 {
			p = binary.LittleEndian.AppendUint16(p, encodeLog(c.ownDemand[b]))
		}
	}
	types := c.ownTypeLoads[:min(len(c.ownTypeLoads), maxServiceTypes)]
	p = append(p, byte(len(types)))
	for _, t := range types {
		p = binary.LittleEndian.AppendUint16(p, encodeLog(t.mean))
		p = append(p, byte(min(t.samples, 255)))
	}
	return c.appendHosts(p, maxBytes)
}

// appendHosts appends the number of hosts to a report, and as many entries as fit into maxBytes.
func (c *Controller) appendHosts(p []byte, maxBytes int) []byte {
	countAt := len(p)
	p = append(p, 0, 0)
	count, maxCount := 0, (maxBytes-len(p))/hostEntrySize
	for i := range c.hostsByName {
		h := c.hostsByName[(c.nextHost+i)%len(c.hostsByName)]
		flags := c.hostFlags(h)
		if h.server.OwnLoad() <= 0 && flags == 0 && (h.observedAt == 0 || c.now-h.observedAt > inUseWindow) {
			continue
		}
		if count == maxCount {
			c.nextHost = (c.nextHost + i) % len(c.hostsByName)
			break
		}
		p = binary.LittleEndian.AppendUint32(p, h.hash)
		p = binary.LittleEndian.AppendUint16(p, encodeLog(h.server.OwnLoad()))
		p = binary.LittleEndian.AppendUint16(p, encodeLog(h.capacity))
		p = append(p, flags)
		count++
	}
	binary.LittleEndian.PutUint16(p[countAt:], uint16(count))
	return p
}

// hostFlags are the flags that a report gives of a host. A node that is late itself reports no late or failing hosts.
func (c *Controller) hostFlags(h *host) (flags uint8) {
	if !c.late && h.lateAt > h.goodAt && c.now-h.lateAt < failureWindow {
		flags |= flagSaturated
	}
	if h.rejectedAt > 0 && c.now-h.rejectedAt < rejectionHold {
		flags |= flagRejected
	}
	if !c.late && h.downAt > h.goodAt && c.now-h.downAt < failureWindow {
		flags |= flagDown
	}
	if h.server.State == balance.Draining {
		flags |= flagDraining
	}
	if !c.late && h.setupFailedAt > h.setupGoodAt && c.now-h.setupFailedAt < failureWindow {
		flags |= flagSetupFails
	}
	if c.warmShare(h) < 1 {
		flags |= flagCold
	}
	return flags
}

// decodeReport decodes a report into r. It returns false for anything else and for a report with impossible figures;
// nothing of r may be used then.
func decodeReport(p []byte, r *report) bool {
	if len(p) < reportHeaderSize || p[0] != reportKind {
		return false
	}
	r.zone = binary.LittleEndian.Uint32(p[1:])
	bucketSet := binary.LittleEndian.Uint32(p[5:])
	p = p[9:]
	if len(p) < 2*bits.OnesCount32(bucketSet)+3 {
		return false
	}
	for b := range benefitBuckets {
		if bucketSet&(1<<b) != 0 {
			v := binary.LittleEndian.Uint16(p)
			if v == 0 || v > maxAccepted {
				return false
			}
			r.demand[b] = decodeLog(v)
			p = p[2:]
		}
	}
	types := int(p[0])
	if p = p[1:]; types > maxServiceTypes || len(p) < types*typeEntrySize+2 {
		return false
	}
	r.typeLoads = map[int]loadMean{}
	for t := range types {
		v := binary.LittleEndian.Uint16(p)
		if v > maxAccepted {
			return false
		}
		r.typeLoads[t] = loadMean{decodeLog(v), float64(p[2])}
		p = p[typeEntrySize:]
	}
	hosts := int(binary.LittleEndian.Uint16(p))
	p = p[2:]
	if len(p) != hosts*hostEntrySize {
		return false
	}
	return decodeHosts(p, r)
}

// decodeHosts decodes the host entries of a report.
func decodeHosts(p []byte, r *report) bool {
	seen := map[uint32]bool{}
	for ; len(p) > 0; p = p[hostEntrySize:] {
		e := hostEntry{hash: binary.LittleEndian.Uint32(p), flags: p[8]}
		load, capacity := binary.LittleEndian.Uint16(p[4:]), binary.LittleEndian.Uint16(p[6:])
		if seen[e.hash] || load > maxAccepted || capacity > maxAccepted || e.flags&^knownFlags != 0 {
			return false
		}
		seen[e.hash] = true
		e.load, e.capacity = decodeLog(load), decodeLog(capacity)
		r.hosts = append(r.hosts, e)
	}
	return true
}
