package overload

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"coursewinch/balance"
)

// A word is what one node tells the others: load asked of it by benefit for load, and of each host that it uses the own
// load, the known load at which it is full, and whether it is. Figures are on a scale of logarithms, 0.03 % a step.

const (
	reportKind       = 1
	reportHeaderSize = 1 + 4 + 4 + 1 + 2 // kind, zone, which buckets follow, number of service types, number of hosts
	typeEntrySize    = 2 + 1             // mean load and over how many
	hostEntrySize    = 4 + 2 + 2 + 1
	logSteps         = 3000
	maxEncoded       = 65000

	flagSaturated  = 1 << 0 // a sign of it came within the last two seconds, and no good one after
	flagRejected   = 1 << 1 // it turned a flow away within the last second
	flagDown       = 1 << 2 // connects to it did not come up within the last two seconds, and nothing was good since
	flagDraining   = 1 << 3 // the list says that it drains
	flagSetupFails = 1 << 4 // set-ups there failed within the last two seconds, and none was good since
	flagCold       = 1 << 5 // it has started of late
	knownFlags     = flagSetupFails | flagCold | flagSaturated | flagRejected | flagDown | flagDraining

	failureWindow = 2 * second
)

func encodeLog(x float64) uint16 {
	return uint16(min(max(math.Round(logSteps*math.Log1p(max(x, 0))), 0), maxEncoded))
}

func decodeLog(v uint16) float64 { return math.Expm1(float64(v) / logSteps) }

// Word makes what the other nodes are told, in so many bytes at most. Where not all hosts find room, the next word goes
// on with the rest.
func (c *Core) Word(room int) []byte {
	p := make([]byte, 0, room)
	p = binary.LittleEndian.AppendUint32(append(p, reportKind), c.zone)
	which := uint32(0)
	for b, d := range c.ownDemand {
		if encodeLog(d) > 0 {
			which |= 1 << b
		}
	}
	p = binary.LittleEndian.AppendUint32(p, which)
	for b := range c.ownDemand {
		if which&(1<<b) != 0 {
			p = binary.LittleEndian.AppendUint16(p, encodeLog(c.ownDemand[b]))
		}
	}
	p = append(p, byte(min(len(c.ownTypeLoads), maxServiceTypes)))
	for _, o := range c.ownTypeLoads[:min(len(c.ownTypeLoads), maxServiceTypes)] {
		p = binary.LittleEndian.AppendUint16(p, encodeLog(o.mean))
		p = append(p, byte(min(o.samples, 255)))
	}
	at := len(p)
	p = append(p, 0, 0)
	n, fit := 0, (room-len(p))/hostEntrySize
	for i := range c.hostsByName {
		h := c.hostsByName[(c.nextHost+i)%len(c.hostsByName)]
		flags := uint8(0)
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
		if h.server.Held() <= 0 && flags == 0 && (h.observedAt == 0 || c.now-h.observedAt > inUseWindow) {
			continue
		}
		if n == fit {
			c.nextHost = (c.nextHost + i) % len(c.hostsByName)
			break
		}
		p = binary.LittleEndian.AppendUint32(p, h.hash)
		p = binary.LittleEndian.AppendUint16(p, encodeLog(h.server.Held()))
		p = binary.LittleEndian.AppendUint16(p, encodeLog(h.capacity))
		p = append(p, flags)
		n++
	}
	binary.LittleEndian.PutUint16(p[at:], uint16(n))
	return p
}

// decodeReport takes a word apart; false where it is none, or its figures can't be: then nothing of it counts.
func decodeReport(p []byte, o *report) bool {
	if len(p) < reportHeaderSize || p[0] != reportKind {
		return false
	}
	o.zone = binary.LittleEndian.Uint32(p[1:])
	which := binary.LittleEndian.Uint32(p[5:])
	p = p[9:]
	if len(p) < 2*bits.OnesCount32(which)+3 {
		return false
	}
	for b := range benefitBuckets {
		if which&(1<<b) != 0 {
			v := binary.LittleEndian.Uint16(p)
			if v == 0 || v > maxAccepted {
				return false
			}
			o.demand[b] = decodeLog(v)
			p = p[2:]
		}
	}
	kinds := int(p[0])
	if p = p[1:]; kinds > maxServiceTypes || len(p) < kinds*typeEntrySize+2 {
		return false
	}
	o.typeLoads = map[int]loadMean{}
	for k := range kinds {
		v := binary.LittleEndian.Uint16(p)
		if v > maxAccepted {
			return false
		}
		o.typeLoads[k] = loadMean{decodeLog(v), float64(p[2])}
		p = p[typeEntrySize:]
	}
	n := int(binary.LittleEndian.Uint16(p))
	p = p[2:]
	if len(p) != n*hostEntrySize {
		return false
	}
	seen := map[uint32]bool{}
	for ; len(p) > 0; p = p[hostEntrySize:] {
		e := hostEntry{hash: binary.LittleEndian.Uint32(p), flags: p[8]}
		load, full := binary.LittleEndian.Uint16(p[4:]), binary.LittleEndian.Uint16(p[6:])
		if seen[e.hash] || load > maxAccepted || full > maxAccepted || e.flags&^knownFlags != 0 {
			return false
		}
		seen[e.hash] = true
		e.load, e.capacity = decodeLog(load), decodeLog(full)
		o.hosts = append(o.hosts, e)
	}
	return true
}

const maxAccepted = logSteps * 21 // e to the 21st: a thousand cores and more

// Told takes the word of one process of the so-many-th other node, no older than at. What a process before it at the same
// address held is gone with that, unless it still speaks. False where it makes no sense: it is dropped
// whole, and what that process said before counts on until it is old.
func (c *Core) Told(from int, process uint64, at int64, late bool, p []byte) bool {
	o := &report{from: from, sentAfter: at, late: late}
	if !decodeReport(p, o) {
		c.Figures.InvalidReports++
		return false
	}
	for _, id := range slices.Clone(c.processes) {
		if b := c.reports[id]; b.from == from && id != process && c.now-b.sentAfter > c.maxReportAge {
			c.RemoveProcess(id)
		}
	}
	if c.reports[process] == nil {
		if len(c.reports) >= maxProcesses {
			return true
		}
		c.processes = append(c.processes, process)
	}
	c.reports[process] = o
	return true
}

const maxProcesses = 1024 // processes whose words are kept

// RemoveProcess is that a process has said it ends: what it held goes with it.
func (c *Core) RemoveProcess(process uint64) {
	delete(c.reports, process)
	c.processes = slices.DeleteFunc(c.processes, func(id uint64) bool { return id == process })
}
