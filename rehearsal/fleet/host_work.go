package fleet

import (
	"math"
)

// setupJob is a set-up or a probe in work.
type setupJob struct {
	workGoal    float64 // of done
	conn        *hostConn
	receivedAt  int64 // when the line came
	work        float64
	timeout     int64 // how long the node waits
	isProbe     bool
	wantsReport bool // the probe asks for the report
	abandoned   bool // its connection is gone
}

// warmShare is the share of its capacity that a host has by now.
func (h *host) warmShare(at int64) float64 {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || at >= h.bootedAt+t.ColdTime.Us() {
		return 1
	}
	return 1 - (1-t.ColdFrom)*float64(h.bootedAt+t.ColdTime.Us()-at)/float64(t.ColdTime.Us())
}

// coreRate is the work a second that one of its cores does now.
func (h *host) coreRate() float64 {
	if h.state != hostRunning || h.pauses > 0 {
		return 0
	}
	rate := coreWorkPerSecond * h.speed * h.warmShare(h.updatedAt) * (1 - h.neighbourShare) / max(h.slowdown, 1)
	if t := h.world.script.Fleet; t.Thrash > 0 && h.backlog > 0 {
		rate *= 1 - t.Thrash*min(h.backlog/(t.Buffer.Seconds()*rate*h.cores), 1)
	}
	return rate
}

// capacity is the load of flows, of load 1 each, that fill the host when it is warm and alone.
func (h *host) capacity() float64 { return h.cores * h.speed * h.world.script.Fleet.PerCore }

// unitLoadRate is the work a second of a flow of load 1.
func (w *World) unitLoadRate() float64 { return coreWorkPerSecond / w.script.Fleet.PerCore }

// workRates are the work a second that each set-up and that all messages get now.
func (h *host) workRates() (perSetup, messages float64) {
	rate := h.coreRate()
	if rate == 0 {
		return 0, 0
	}
	perMessage := h.world.unitLoadRate() * float64(h.world.script.Clients.LineInterval) / 1e6
	demand := h.load / rate
	if h.backlog > 0 {
		demand += h.backlog / perMessage
	}
	setups := float64(len(h.activeSetups))
	perConsumer := rate
	if setups+demand > h.cores {
		perConsumer = rate * h.cores / (setups + demand)
	}
	messages = demand * perConsumer
	if h.backlog == 0 {
		messages = min(messages, h.load)
	}
	return perConsumer, messages
}

// advance brings the host up to now.
func (h *host) advance() {
	elapsed := float64(h.world.now-h.updatedAt) / 1e6
	if elapsed > 0 {
		perSetup, messages := h.workRates()
		h.workPerSetup += perSetup * elapsed
		h.backlog += (h.load - messages) * elapsed
		if h.backlog < 1 {
			h.backlog = 0
		}
		work := (perSetup*float64(len(h.activeSetups)) + messages) * elapsed
		h.world.run.Counts.Work += work
		if rate := h.coreRate(); rate > 0 {
			h.utilization += (min((perSetup*float64(len(h.activeSetups))+messages)/(rate*h.cores), 1) - h.utilization) * min(elapsed*2, 1)
		}
	}
	h.updatedAt = h.world.now
}

// scheduleCompletion asks for the moment at which the next set-up is done.
func (h *host) scheduleCompletion() {
	h.generation++
	perSetup, _ := h.workRates()
	if len(h.activeSetups) == 0 || perSetup == 0 {
		return
	}
	generation := h.generation
	wait := (h.activeSetups[0].workGoal - h.workPerSetup) / perSetup * 1e6
	h.world.after(int64(math.Ceil(max(wait, 1))), func() {
		if h.generation == generation {
			h.advance()
			h.completeDue()
			h.scheduleCompletion()
		}
	})
}

func (h *host) completeDue() {
	for len(h.activeSetups) > 0 && h.activeSetups[0].workGoal <= h.workPerSetup+0.5 {
		j := h.popJob()
		h.startQueued()
		switch {
		case j.isProbe:
			h.world.sendToNode(j.conn.Conn, h.probeAnswer(j.wantsReport), nil)
		case h.world.script.Store.CallRate > 0:
			h.world.callStore(func() { h.completeSetup(j) })
		default:
			h.completeSetup(j)
		}
	}
}

// startQueued takes the first of the queue into work.
func (h *host) startQueued() {
	slots := int(math.Ceil(h.world.script.Fleet.SlotsPerCore * h.cores))
	for len(h.queuedSetups) > 0 && len(h.activeSetups) < slots {
		j := h.queuedSetups[0]
		h.queuedSetups = h.queuedSetups[1:]
		switch {
		case j.abandoned:
		case h.world.now-j.receivedAt > j.timeout: // its client's time is up
			h.refuse(j.conn, "BUSY")
		default:
			h.pushJob(j)
		}
	}
}

func (h *host) pushJob(j *setupJob) {
	j.workGoal = h.workPerSetup + j.work
	h.activeSetups = append(h.activeSetups, j)
	for i := len(h.activeSetups) - 1; i > 0 && h.activeSetups[i].workGoal < h.activeSetups[(i-1)/2].workGoal; i = (i - 1) / 2 {
		h.activeSetups[i], h.activeSetups[(i-1)/2] = h.activeSetups[(i-1)/2], h.activeSetups[i]
	}
}

func (h *host) popJob() *setupJob {
	top := h.activeSetups[0]
	last := len(h.activeSetups) - 1
	h.activeSetups[0] = h.activeSetups[last]
	h.activeSetups[last] = nil
	h.activeSetups = h.activeSetups[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && h.activeSetups[child+1].workGoal < h.activeSetups[child].workGoal {
			child++
		}
		if h.activeSetups[child].workGoal >= h.activeSetups[i].workGoal {
			return top
		}
		h.activeSetups[i], h.activeSetups[child] = h.activeSetups[child], h.activeSetups[i]
		i = child
	}
}

// coldAllowance is how much a host may have been sent while cold, from its start up to now: what burden lets pass, without the
// two in hand.
func (h *host) coldAllowance() float64 {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || t.ColdTime == 0 {
		return 0
	}
	elapsed := min(max(float64(h.world.now-h.bootedAt)/float64(t.ColdTime.Us()), 0), 1)
	mean := (h.warmShare(h.bootedAt) + h.warmShare(h.bootedAt+int64(elapsed*float64(t.ColdTime.Us()-1)))) / 2
	return t.FallMultiple * h.capacity() / h.world.meanLoad * mean * elapsed
}

// countColdConnect counts what a cold host is sent. Over the stated multiple of what it can do, for the stated time, it falls
// over. What it can do is to fill within its warm-up, evenly, for the share that it is warm; two connects in hand are
// let pass, as they come whole.
func (h *host) countColdConnect() {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || h.world.now >= h.bootedAt+t.ColdTime.Us() {
		h.coldConnects = nil
		return
	}
	h.world.run.Hosts[h.index].ColdSent++
	h.coldConnects = append(h.coldConnects, h.world.now)
	for len(h.coldConnects) > 0 && h.coldConnects[0] <= h.world.now-t.FallAfter.Us() {
		h.coldConnects = h.coldConnects[1:]
	}
	middle := max(h.bootedAt, h.world.now-t.FallAfter.Us()/2)
	expected := h.capacity() / h.world.meanLoad / t.ColdTime.Seconds() * h.warmShare(middle) * t.FallAfter.Seconds()
	ratio := (float64(len(h.coldConnects)) - 2) / expected
	h.peakColdRatio = max(h.peakColdRatio, ratio)
	if allowed := t.FallMultiple * expected; float64(len(h.coldConnects)) > allowed+t.FallRoots*math.Sqrt(allowed)+2 {
		h.fellOver = true
		h.world.run.Hosts[h.index].FellAt = h.world.now
		h.world.run.Counts.Falls++
		h.world.after(0, func() { h.world.crashHost(h, 0) })
	}
}

// messageQuality is the share of messages that are answered within a target now: none while more is piled up than the
// target allows, and fewer as the host nears its capacity.
func (h *host) messageQuality(target int64) float64 {
	rate := h.coreRate()
	if rate == 0 {
		return 0
	}
	left := float64(target)/1e6 - h.backlog/(rate*h.cores)
	if left <= 0 {
		return 0
	}
	message := h.world.unitLoadRate() * float64(h.world.script.Clients.LineInterval) / 1e6 / rate / messagesPerLine
	free := 1 - min(h.load/(rate*h.cores), 0.999)
	return 1 - math.Exp(-left*free/message)
}

const messagesPerLine = 16 // messages among which the work between two lines of a client is spread
