package node

import (
	"fmt"
	"testing"

	"coursewinch/balance"
)

// figureDecider is a decider that records the loads and message times reported to it.
type figureDecider struct {
	Decider
	calls []string
}

func (d *figureDecider) LoadMeasured(f *balance.Flow, perSecond float64) {
	d.calls = append(d.calls, fmt.Sprintf("load %.0f", perSecond))
	d.Decider.LoadMeasured(f, perSecond)
}

func (d *figureDecider) DelayMeasured(s *balance.Server, us int64) {
	d.calls = append(d.calls, fmt.Sprintf("slow %d", us)) // not passed on, so that the flow is not moved
}

// An overloaded host reported message times with the line for loads and looked almost idle ("all days at size").
func TestMessageTimesAreNotLoads(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced bool     // the settings say that hosts report message times
		reported  bool     // a host has reported one
		after     []int64  // times between the figures
		figures   []string // values of the LOAD lines
		want      string
	}{
		{"a series is message times, and so is its end", true, true, []int64{ms, 400 * ms, second + 9*ms, second - 9*ms},
			[]string{"60000", "9000", "174.5", "9.1"}, "[load 60000 load 9000 slow 174500 slow 9100]"},
		{"a load does not fall to a hundredth at once", true, true, []int64{ms, 700 * ms},
			[]string{"60000", "600"}, "[load 60000 slow 600000]"},
		{"light loads stay loads", true, true, []int64{ms}, []string{"900"}, "[load 900]"},
		{"a first figure that comes late is a message time", true, true, []int64{300 * ms}, []string{"900"}, "[slow 900000]"},
		{"no message takes longer than clients wait", true, true, []int64{ms, second, second}, []string{"90000", "2001", "2300"},
			"[load 90000 load 2001 load 2300]"},
		{"until a host has reported one, a late first figure is no sign", true, false, []int64{300 * ms, 500 * ms},
			[]string{"900", "30"}, "[]"},
		{"a series is the first sign of message times", true, false, []int64{ms, 500 * ms, second, second},
			[]string{"9000", "500", "400", "5"}, "[load 9000 slow 400000 slow 5000]"},
		{"a flow may become idle", true, true, []int64{ms, 700 * ms}, []string{"60000", "0"}, "[load 60000 load 0]"},
		{"where hosts report none, all figures are loads", false, false, []int64{ms, 700 * ms, second}, []string{"60000", "600", "500"},
			"[load 60000 load 600 load 500]"},
	} {
		n, net := newNode(1)
		n.settings.ReportsMessageTime, n.hostsReportTimes = c.announced, c.reported
		d := &figureDecider{Decider: n.decider}
		n.decider = d
		_, host := net.establish()
		for i, figure := range c.figures {
			net.run(c.after[i]-1, func() {})
			net.receive(host, "LOAD "+figure+"\r\n")
		}
		if got := fmt.Sprint(d.calls); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}
