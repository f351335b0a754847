package fleet

import (
	"fmt"
	"math"
	"strings"

	"coursewinch/lines"
	"coursewinch/rehearsal/record"
)

// hostConn is one connection at a host.
type hostConn struct {
	*Conn
	job    *setupJob
	hosted *hostedFlow
	index  int // in host.conns
}

// hostedFlow is a flow that stands at a host.
type hostedFlow struct {
	conn  *hostConn
	load  float64
	index int // in host.flows
}

// The host as the other end of a node's connection.

func (h *host) accepted(c *Conn) {
	hc := &hostConn{Conn: c, index: len(h.conns)}
	c.peerState = hc
	h.conns = append(h.conns, hc)
}

func (h *host) connected(*Conn) {}

// probeAnswer answers a probe; its report is of flows waiting and of load asked over what the host can do.
func (h *host) probeAnswer(withReport bool) string {
	if rate := h.coreRate() * h.cores; withReport && rate > 0 {
		return fmt.Sprintf("PONG %d,%.3f\r\n", len(h.activeSetups), h.load/rate)
	}
	return "PONG\r\n"
}

func (h *host) receiveLine(c *Conn, line []byte) {
	hc, ok := c.peerState.(*hostConn)
	if !ok || h.state != hostRunning {
		return
	}
	h.advance()
	defer h.scheduleCompletion()
	switch text := string(line); {
	case hc.hosted != nil:
		h.echo(hc, text)
	case text == "PING", text == "STATS" && h.world.script.Node.HostsReportLoad:
		h.world.run.Counts.Probes++
		h.pushJob(&setupJob{conn: hc, receivedAt: h.world.now, work: float64(h.world.script.Fleet.ProbeWork), isProbe: true, wantsReport: text == "STATS"})
	case strings.HasPrefix(text, "OPEN ") && hc.flow != nil && hc.job == nil:
		h.receiveOpen(hc, line)
	default:
		h.rejectLine(hc, "neither PING nor OPEN: "+text)
	}
}

func (h *host) rejectLine(hc *hostConn, why string) {
	h.world.recordInvalidLine(hc, why)
	h.world.sendToNode(hc.Conn, "SYNTAX\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// echo answers a line of an established flow.
func (h *host) echo(hc *hostConn, text string) {
	if h.world.script.Fleet.EchoMode == "at_once" && h.pauses == 0 {
		h.sendToClient(hc, text)
		return
	}
	wait := int64(0)
	if rate := h.coreRate() * h.cores; rate > 0 {
		wait = int64((h.backlog + h.world.unitLoadRate()*float64(h.world.script.Clients.LineInterval)/1e6) / rate * 1e6)
	} else {
		wait = second
	}
	h.world.after(wait, func() {
		if h.pauses > 0 {
			h.echo(hc, text)
			return
		}
		h.sendToClient(hc, text)
	})
}

// receiveBulk sends many lines back at once.
func (h *host) receiveBulk(c *Conn, p []byte) bool {
	hc, ok := c.peerState.(*hostConn)
	if !ok || hc.hosted == nil || h.world.script.Fleet.EchoMode != "at_once" || h.pauses > 0 || h.state != hostRunning {
		return false
	}
	h.sendToClient(hc, strings.TrimSuffix(string(p), "\r\n"))
	return true
}

// sendToClient sends a line that the node owes the client.
func (h *host) sendToClient(hc *hostConn, text string) {
	flow, p := hc.flow, hc.client
	h.world.sendToNode(hc.Conn, text+"\r\n", func() {
		if p.flow == flow && p.upSent {
			p.pendingToClient.add(len(text)+2, h.world.now)
		}
	})
}

// receiveOpen takes the line of a connect.
func (h *host) receiveOpen(hc *hostConn, line []byte) {
	open, err := lines.ParseOpen(line)
	if err != nil || open.ID != hc.flow.ID || h.world.script.TypeNo(open.Class) != hc.flow.Type || open.Key != hc.flow.Key {
		h.rejectLine(hc, fmt.Sprint("changed on its way: ", string(line)))
		return
	}
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Came, Host: h.index, Try: hc.attempt})
	if open.At != "" {
		if hc.client.initialHost != h {
			h.rejectLine(hc, "it never stood here: "+open.At)
			return
		}
		h.completeSetup(&setupJob{conn: hc})
		return
	}
	h.countColdConnect()
	t := h.world.script.Fleet
	switch {
	case h.listed == "draining":
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.flows)+len(h.activeSetups)+len(h.queuedSetups)) >= t.ConnectionCap*h.capacity():
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.queuedSetups)) >= t.QueuePerCore*h.cores && len(h.activeSetups) >= int(math.Ceil(t.SlotsPerCore*h.cores)):
		h.refuse(hc, "BUSY")
		return
	}
	work := float64(t.SetupWork) * (0.7 + 0.6*hc.client.eventRand.Float64())
	hc.job = &setupJob{conn: hc, receivedAt: h.world.now, work: work, timeout: open.Wait}
	h.queuedSetups = append(h.queuedSetups, hc.job)
	h.startQueued()
}

// refuse refuses or fails a connect and ends its connection.
func (h *host) refuse(hc *hostConn, answer string) {
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Said, Host: h.index, Try: hc.attempt, Text: answer})
	h.world.sendToNode(hc.Conn, answer+"\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// completeSetup is the end of a set-up's work.
func (h *host) completeSetup(j *setupJob) {
	hc := j.conn
	if h.state != hostRunning || hc.flow == nil {
		return
	}
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Ran, Host: h.index, Try: hc.attempt})
	if j.abandoned {
		h.world.run.Counts.Wasted++
		h.world.run.Counts.WorkWasted += j.work
		return
	}
	if errorRate := h.world.script.Fleet.ErrorRate + h.extraErrorRate; errorRate > 0 && hc.client.eventRand.Float64() < errorRate {
		h.refuse(hc, "ERR")
		return
	}
	h.receipts++
	receipt := fmt.Sprintf("%s.%d.%d", h.uid, h.bootedAt, h.receipts)
	hc.flow.Receipts = append(hc.flow.Receipts, receipt)
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Said, Host: h.index, Try: hc.attempt, Text: "UP"})
	hc.hosted = &hostedFlow{conn: hc, index: len(h.flows)}
	h.flows = append(h.flows, hc.hosted)
	h.setFlowLoad(hc.hosted, hc.client.load*h.world.unitLoadRate())
	h.addToGroup(hc.client.group, 1)
	if hc.client.flow == hc.flow {
		hc.client.hostConn, hc.client.host = hc, h
	}
	h.world.sendToNode(hc.Conn, "UP "+receipt+"\r\n", nil)
	h.reportLoad(hc)
	if hc.client.endedByHost {
		h.world.At(hc.client.endsAt, func() {
			if hc.hosted != nil {
				h.sendAway(hc, "BYE")
			}
		})
	}
}

// reportLoad says what a flow's load is, where hosts do.
func (h *host) reportLoad(hc *hostConn) {
	if h.world.script.Fleet.SendsLoad {
		h.sendToClient(hc, fmt.Sprintf("LOAD %.0f", hc.hosted.load))
	}
}

func (h *host) setFlowLoad(s *hostedFlow, load float64) {
	h.load += load - s.load
	s.load = load
}

// addToGroup counts a group's flows here; each group that has any costs its share of work.
func (h *host) addToGroup(group string, by int) {
	if group == "" {
		return
	}
	cost := h.world.script.Fleet.GroupCost * h.world.unitLoadRate()
	if h.flowsByGroup[group] == 0 {
		h.load += cost
	}
	if h.flowsByGroup[group] += by; h.flowsByGroup[group] == 0 {
		h.load -= cost
		delete(h.flowsByGroup, group)
	}
}

// sendAway sends a client away with a last word.
func (h *host) sendAway(hc *hostConn, closingLine string) {
	h.advance()
	h.sendToClient(hc, closingLine)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
	h.scheduleCompletion()
}

func (h *host) closed(c *Conn, broken bool) {
	if hc, ok := c.peerState.(*hostConn); ok {
		h.advance()
		h.removeConn(hc)
		h.scheduleCompletion()
	}
}

// removeConn forgets a connection.
func (h *host) removeConn(hc *hostConn) {
	if hc.index < 0 {
		return
	}
	last := len(h.conns) - 1
	h.conns[hc.index] = h.conns[last]
	h.conns[hc.index].index = hc.index
	h.conns[last] = nil
	h.conns = h.conns[:last]
	hc.index = -1
	if hc.job != nil {
		hc.job.abandoned = true
	}
	if s := hc.hosted; s != nil {
		h.setFlowLoad(s, 0)
		h.addToGroup(hc.client.group, -1)
		last := len(h.flows) - 1
		h.flows[s.index] = h.flows[last]
		h.flows[s.index].index = s.index
		h.flows[last] = nil
		h.flows = h.flows[:last]
		hc.hosted = nil
	}
	if len(h.flows) == 0 {
		h.load = 0 // rounding
	}
}

// loadChanged is told when the load of a client's flow has changed.
func (h *host) loadChanged(hc *hostConn) {
	if hc.hosted != nil && h.state == hostRunning {
		h.advance()
		h.setFlowLoad(hc.hosted, hc.client.load*h.world.unitLoadRate())
		h.reportLoad(hc)
		h.scheduleCompletion()
	}
}
