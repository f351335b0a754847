package node

// Where the settings say that hosts report message times, they use LOAD, the only line that carries a figure: milliseconds,
// once a second on one connection of each node, while messages are slow and once more after. A message time that is taken for
// a load makes an overloaded host look idle, so the two have to be told apart.

const (
	hostReportInterval  = second                 // between two message times of one host
	hostReportTolerance = 25 * ms                // by which that interval may be missed
	maxLoadDrop         = 20                     // a flow's load does not fall to less than one over this at once
	firstLoadWithin     = 50 * ms                // a flow's first load comes this soon after it is established
	hostReportValidity  = 2 * hostReportInterval // for this long a host's report takes precedence over the node's own measurements
)

// messageReports records when a host last sent figures.
type messageReports struct {
	lastFigure      int64 // when the last figure came that may be a message time; 0 for never
	lastMessageTime int64 // when the last figure came that was taken for one; 0 for never
}

// receiveFigure handles the figure of a LOAD line on a flow's connection. It decides whether the figure is a load or a message
// time.
func (n *Node) receiveFigure(f *flow, figure float64) {
	h := f.host
	// No client waits longer than the longest connect timeout, so a larger figure is a load. So is 0: every message takes time.
	if !n.settings.TellsTime || figure > float64(n.settings.Longest/ms) || figure == 0 {
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
		n.decider.Slow(&h.Server, int64(figure*float64(ms)))
	}
	h.reported.lastFigure = n.now // of a figure that may be either, only the time is used
}

// receiveLoad handles a flow's load as its host reported it.
func (n *Node) receiveLoad(f *flow, load float64) {
	f.reportedLoad = load
	n.captureLoad(f, load)
	if n.cluster != nil {
		n.cluster.overload.Load(f.TypeNo, load)
	}
	n.decider.Load(&f.Flow, load)
}
