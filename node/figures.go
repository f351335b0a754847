package node

// Where the settings say that hosts tell how long a message takes, they do so with the one word that carries a figure,
// LOAD: milliseconds, once a second on one connection of each node while that is long, and once more after. Read as a
// load, such a figure makes a host that drowns look empty.

const (
	hostReportInterval  = second                 // between two message times of one host
	hostReportTolerance = 25 * ms                // by which they may miss it
	maxLoadDrop         = 20                     // a load does not fall to less than such a part at once
	firstLoadWithin     = 50 * ms                // after it stood, a flow's first load comes within
	hostReportValidity  = 2 * hostReportInterval // for so long a host's own word counts before what the node makes out itself
)

// messageReports is what a host told lately.
type messageReports struct {
	lastFigure      int64 // when the last figure came that can be a message time; 0 for never
	lastMessageTime int64 // when the last one came that was
}

// receiveFigure takes in what stood behind LOAD on a flow's connection.
func (n *Node) receiveFigure(f *flow, figure float64) {
	h := f.host
	// Clients wait no longer than Longest for anything, and no message takes no time: that is a flow without load.
	if !n.settings.TellsTime || figure > float64(n.settings.Longest/ms) || figure == 0 {
		n.receiveLoad(f, figure)
		return
	}
	since := n.now - h.reported.lastFigure
	first := n.now-f.establishedAt < firstLoadWithin
	series := h.reported.lastFigure > 0 && since > hostReportInterval-hostReportTolerance && since < hostReportInterval+hostReportTolerance
	switch {
	case f.reportedLoad == 0 && first:
		n.receiveLoad(f, figure)
		return
	case series, f.reportedLoad > 0 && figure < f.reportedLoad/maxLoadDrop, f.reportedLoad == 0 && n.hostsReportTimes:
		n.hostsReportTimes = n.hostsReportTimes || series
		h.reported.lastMessageTime = n.now
		n.decider.Slow(&h.Server, int64(figure*float64(ms)))
	}
	h.reported.lastFigure = n.now // what can be either and has no sign teaches nothing but when it came
}

func (n *Node) receiveLoad(f *flow, load float64) {
	f.reportedLoad = load
	n.captureLoad(f, load)
	if n.cluster != nil {
		n.cluster.overload.Load(f.TypeNo, load)
	}
	n.decider.Load(&f.Flow, load)
}
