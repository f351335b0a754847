package node

import "slices"

// Where the settings say that hosts report message times, they use LOAD, the only line that carries a figure:
// milliseconds, once a second on one connection of each node, while messages are slow and once more after. A message
// time that is taken for a load makes an overloaded host look idle, so the two have to be distinguished.

const (
	hostReportInterval  = second                 // between two message times of one host
	hostReportTolerance = 25 * ms                // by which that interval may be missed
	maxLoadDrop         = 20                     // a flow's load does not fall to less than 1/maxLoadDrop at once
	firstLoadWithin     = 50 * ms                // a flow's first load comes this soon after it is established
	hostReportValidity  = 2 * hostReportInterval // for this long a host's report takes precedence over the node's own measurements
)

// messageReports records when a host last sent figures.
type messageReports struct {
	lastFigure      int64 // when the last figure came that may be a message time; 0 for never
	lastMessageTime int64 // when the last figure came that was taken for one; 0 for never
}

// receiveFigure handles the figure of a LOAD line on a flow's connection. It decides whether the figure is a load or a
// message time.
func (n *Node) receiveFigure(f *flow, figure float64) {
	h := f.host
	// No client waits longer than the longest connect timeout, so a larger figure is a load. So is 0: every message
	// takes time.
	if !n.settings.ReportsMessageTime || figure > float64(n.settings.MaxConnectTimeout/ms) || figure == 0 {
		n.receiveLoad(f, figure)
		return
	}
	since := n.now - h.reported.lastFigure
	first := n.now-f.establishedAt < firstLoadWithin
	series := h.reported.lastFigure > 0 &&
		since > hostReportInterval-hostReportTolerance && since < hostReportInterval+hostReportTolerance
	switch {
	case f.reportedLoad == 0 && first:
		n.receiveLoad(f, figure)
		return
	case series, f.reportedLoad > 0 && figure < f.reportedLoad/maxLoadDrop, f.reportedLoad == 0 && n.hostsReportTimes:
		n.hostsReportTimes = n.hostsReportTimes || series
		h.reported.lastMessageTime = n.now
		n.decider.DelayMeasured(&h.Server, int64(figure*float64(ms)))
	}
	h.reported.lastFigure = n.now // of a figure that may be either, only the time is used
}

// receiveLoad handles a flow's load as its host reported it.
func (n *Node) receiveLoad(f *flow, load float64) {
	f.reportedLoad = load
	n.captureLoad(f, load)
	if n.cluster != nil {
		n.cluster.overload.ObserveFlowLoad(f.TypeIndex, load)
	}
	n.decider.LoadMeasured(&f.Flow, load)
}

// reportMessageTimes reports to the module how long messages take at each host, while that is over a third of the shortest
// target and once more after. The figure is the median of the times measured since the last report, together with the ages
// of unanswered lines that are older than the median of these times. Nothing is reported for a host that reports its message
// times itself. This runs once a second and first moves clients that have sent or read nothing for too long.
func (n *Node) reportMessageTimes() {
	n.closeStalledClients()
	n.deadlines.set(&n.messageTimeTimer, n.now+messageTimeInterval)
	for _, entry := range n.flows.entries {
		if f := entry.value; f != nil && f.unansweredSince > 0 && !f.ended {
			age, _ := n.elapsed(f.unansweredSpan)
			f.host.pendingAges = append(f.host.pendingAges, age)
		}
	}
	for _, h := range n.hostList {
		slices.Sort(h.messageTimes)
		median := int64(0)
		if len(h.messageTimes) > 0 {
			median = h.messageTimes[len(h.messageTimes)/2]
		}
		for _, age := range h.pendingAges {
			if age > median {
				h.messageTimes = append(h.messageTimes, age)
			}
		}
		if len(h.messageTimes) > 0 {
			slices.Sort(h.messageTimes)
			selfMeasured := n.now-h.reported.lastMessageTime > hostReportValidity || h.reported.lastMessageTime == 0
			if typical := h.messageTimes[len(h.messageTimes)/2]; selfMeasured && (typical > n.slowMessageTime || h.slowReported) {
				h.slowReported = typical > n.slowMessageTime
				n.decider.DelayMeasured(&h.Server, typical)
			}
		}
		h.messageTimes, h.pendingAges = h.messageTimes[:0], h.pendingAges[:0]
	}
}
