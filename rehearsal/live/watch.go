package live

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const metricsTimeout = 400 * time.Millisecond // for a node's figures

// lateCounter is how often nodes that bound each other said that their own loops were late. They judge no host then, and what
// the fleet serves without that is the machine's doing and not theirs.
type lateCounter struct{ samples, late atomic.Int64 }

func (l *lateCounter) add(late bool) {
	if l.samples.Add(1); late {
		l.late.Add(1)
	}
}

func (l *lateCounter) share() float64 {
	return float64(l.late.Load()) / float64(max(l.samples.Load(), 1))
}

// adminFunc is nil where nobody watches.
func (p *player) adminFunc() func(int) string {
	if p.options.OnSecond == nil {
		return nil
	}
	return func(no int) string { return p.nodes[no].adminAddr }
}

// startWatching calls the watcher each second from the start of the run on.
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
