package fleet

import (
	"math"
)

// setupJob is a set-up or a probe that a host works on or has queued.
type setupJob struct {
	workGoal    float64 // value of the host's workPerSetup at which it is done
	conn        *hostConn
	receivedAt  int64   // when its line arrived
	work        float64 // in microseconds of a core of speed 1
	timeout     int64   // how long the node waits, in microseconds
	isProbe     bool
	wantsReport bool // the probe asks for a load report
	abandoned   bool // its connection has been closed
}

// warmShare returns the share of its capacity that a host has at a time: it grows linearly from cold_from to 1 during
// cold_time after its start.
func (h *host) warmShare(at int64) float64 {
	fleet := h.world.script.Fleet
	if h.bootedAt == 0 || at >= h.bootedAt+fleet.ColdTime.Microseconds() {
		return 1
	}
	return 1 - (1-fleet.ColdFrom)*float64(h.bootedAt+fleet.ColdTime.Microseconds()-at)/float64(fleet.ColdTime.Microseconds())
}

// coreRate returns the work per second that one core does now.
func (h *host) coreRate() float64 {
	if h.state != hostRunning || h.pauses > 0 {
		return 0
	}
	rate := coreWorkPerSecond * h.speed * h.warmShare(h.updatedAt) * (1 - h.neighbourShare) / max(h.slowdown, 1)
	if fleet := h.world.script.Fleet; fleet.Thrash > 0 && h.backlog > 0 {
		rate *= 1 - fleet.Thrash*min(h.backlog/(fleet.Buffer.Seconds()*rate*h.cores), 1)
	}
	return rate
}

// capacity returns the number of flows of load 1 that saturate the host when it is warm and nothing else uses it.
func (h *host) capacity() float64 { return h.cores * h.speed * h.world.script.Fleet.FlowsPerCore }

// unitLoadRate returns the work per second of a flow of load 1.
func (w *World) unitLoadRate() float64 { return coreWorkPerSecond / w.script.Fleet.FlowsPerCore }

// workRates returns the work per second that each active set-up and that all messages together receive now. If set-ups
// and messages demand more cores than there are, they share them evenly.
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

// advance updates the state of the host to the current time.
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

// scheduleCompletion schedules the completion of the next active set-up, replacing the one scheduled before.
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

// completeDue completes the active set-ups and probes whose work is done.
func (h *host) completeDue() {
	for len(h.activeSetups) > 0 && h.activeSetups[0].workGoal <= h.workPerSetup+0.5 {
		job := h.popJob()
		h.startQueued()
		switch {
		case job.isProbe:
			h.world.sendToNode(job.conn.Conn, h.probeAnswer(job.wantsReport), nil)
		case h.world.script.Store.CallRate > 0:
			h.world.callStore(func() { h.completeSetup(job) })
		default:
			h.completeSetup(job)
		}
	}
}

// startQueued starts queued set-ups while slots are free.
func (h *host) startQueued() {
	slots := int(math.Ceil(h.world.script.Fleet.SlotsPerCore * h.cores))
	for len(h.queuedSetups) > 0 && len(h.activeSetups) < slots {
		job := h.queuedSetups[0]
		h.queuedSetups = h.queuedSetups[1:]
		switch {
		case job.abandoned:
		case h.world.now-job.receivedAt > job.timeout: // its connect timeout has expired
			h.refuse(job.conn, "BUSY")
		default:
			h.pushJob(job)
		}
	}
}

// pushJob starts a job.
func (h *host) pushJob(job *setupJob) {
	job.workGoal = h.workPerSetup + job.work
	h.activeSetups = append(h.activeSetups, job)
	for i := len(h.activeSetups) - 1; i > 0 && h.activeSetups[i].workGoal < h.activeSetups[(i-1)/2].workGoal; i = (i - 1) / 2 {
		h.activeSetups[i], h.activeSetups[(i-1)/2] = h.activeSetups[(i-1)/2], h.activeSetups[i]
	}
}

// popJob removes the active job that is done first.
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

// coldAllowance returns the number of connects that a host may have received while cold, from its start up to now:
// fall_multiple times what it can handle, without what countColdConnect allows in addition.
func (h *host) coldAllowance() float64 {
	fleet := h.world.script.Fleet
	if h.bootedAt == 0 || fleet.ColdTime == 0 {
		return 0
	}
	elapsed := min(max(float64(h.world.now-h.bootedAt)/float64(fleet.ColdTime.Microseconds()), 0), 1)
	mean := (h.warmShare(h.bootedAt) + h.warmShare(h.bootedAt+int64(elapsed*float64(fleet.ColdTime.Microseconds()-1)))) / 2
	return fleet.FallMultiple * h.capacity() / h.world.meanLoad * mean * elapsed
}

// countColdConnect counts the connects that a cold host receives. If they exceed fall_multiple times what it can handle
// over fall_after, it falls over. What it can handle is an even rate that would saturate it within its warm-up, multiplied
// by the share that it is warm. Two additional connects are allowed because connects arrive one by one, and so are
// fall_roots times the square root of the limit, which are attributed to chance.
func (h *host) countColdConnect() {
	fleet := h.world.script.Fleet
	if h.bootedAt == 0 || h.world.now >= h.bootedAt+fleet.ColdTime.Microseconds() {
		h.coldConnects = nil
		return
	}
	h.world.run.Hosts[h.index].ColdConnects++
	h.coldConnects = append(h.coldConnects, h.world.now)
	for len(h.coldConnects) > 0 && h.coldConnects[0] <= h.world.now-fleet.FallAfter.Microseconds() {
		h.coldConnects = h.coldConnects[1:]
	}
	middle := max(h.bootedAt, h.world.now-fleet.FallAfter.Microseconds()/2)
	expected := h.capacity() / h.world.meanLoad / fleet.ColdTime.Seconds() * h.warmShare(middle) * fleet.FallAfter.Seconds()
	ratio := (float64(len(h.coldConnects)) - 2) / expected
	h.peakColdRatio = max(h.peakColdRatio, ratio)
	if allowed := fleet.FallMultiple * expected; float64(len(h.coldConnects)) > allowed+fleet.FallRoots*math.Sqrt(allowed)+2 {
		h.fellOver = true
		h.world.run.Hosts[h.index].CollapsedAt = h.world.now
		h.world.run.Counts.Collapses++
		h.world.after(0, func() { h.world.crashHost(h, 0) })
	}
}

// messageQuality returns the share of messages that are answered within a target, in microseconds, now. It is 0 while the
// backlog alone takes longer than the target, and decreases as the host approaches its capacity.
func (h *host) messageQuality(target int64) float64 {
	rate := h.coreRate()
	if rate == 0 {
		return 0
	}
	remaining := float64(target)/1e6 - h.backlog/(rate*h.cores)
	if remaining <= 0 {
		return 0
	}
	message := h.world.unitLoadRate() * float64(h.world.script.Clients.LineInterval) / 1e6 / rate / messagesPerLine
	free := 1 - min(h.load/(rate*h.cores), maxMessageLoad)
	return 1 - math.Exp(-remaining*free/message)
}

const (
	messagesPerLine = 16    // number of messages over which the work between two lines of a client is spread
	maxMessageLoad  = 0.999 // share of the capacity above which message times grow no further
)
