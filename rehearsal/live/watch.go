package live

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// metricsTimeout is the longest wait for a node's metrics.
const metricsTimeout = 400 * time.Millisecond

// lateCounter counts how often nodes with overload control reported that their own loop was late. Late nodes judge no
// hosts, so what the fleet serves then is the fault of the machine and not of the nodes.
type lateCounter struct{ samples, late atomic.Int64 }

// add adds one report of a node.
func (l *lateCounter) add(late bool) {
	if l.samples.Add(1); late {
		l.late.Add(1)
	}
}

// share returns the share of reports of a late loop.
func (l *lateCounter) share() float64 {
	return float64(l.late.Load()) / float64(max(l.samples.Load(), 1))
}

// adminFunc returns the function that gives a node its address for operators, or nil if no metrics are read.
func (p *player) adminFunc() func(int) string {
	if p.options.OnSecond == nil {
		return nil
	}
	return func(no int) string { return p.nodes[no].adminAddr }
}

// startWatching calls OnSecond each second from the start of the run.
func (p *player) startWatching() {
	if p.options.OnSecond == nil {
		return
	}
	client := &http.Client{Timeout: metricsTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	read := func(no int) map[string]float64 {
		answer, err := client.Get("http://" + p.nodes[no].adminAddr + "/-/metrics")
		if err != nil {
			return nil
		}
		defer answer.Body.Close()
		all := map[string]float64{}
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			name, value, _ := strings.Cut(lines.Text(), "=")
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				all[name] = v
			}
		}
		p.lateReports.add(all["overload_late"] > 0)
		return all
	}
	go func() {
		for at := int64(1); ; at++ {
			select {
			case <-p.done:
				return
			case <-time.After(time.Until(p.startTime.Add(time.Duration(at) * time.Second))):
				p.options.OnSecond(at*1_000_000, read)
			}
		}
	}()
}
