package fleet

import (
	"fmt"
	"math"
	"strings"

	"coursewinch/lines"
	"coursewinch/rehearsal/record"
)

// hostConn is the host's side of a connection from a node.
type hostConn struct {
	*Conn
	job    *setupJob
	hosted *hostedFlow
	index  int // in host.conns; -1 after its removal
}

// hostedFlow is a flow that is established at a host.
type hostedFlow struct {
	conn  *hostConn
	load  float64 // work per second
	index int     // in host.flows
}

// accepted implements peer.
func (h *host) accepted(c *Conn) {
	hc := &hostConn{Conn: c, index: len(h.conns)}
	c.peerState = hc
	h.conns = append(h.conns, hc)
}

// connected implements peer.
func (h *host) connected(*Conn) {}

// probeAnswer returns the answer to a probe. The load report has two values: the number of active set-ups and probes, and
// the load of the flows divided by what the host can do now.
func (h *host) probeAnswer(withReport bool) string {
	if rate := h.coreRate() * h.cores; withReport && rate > 0 {
		return fmt.Sprintf("PONG %d,%.3f\r\n", len(h.activeSetups), h.load/rate)
	}
	return "PONG\r\n"
}

// receiveLine implements peer.
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
		h.pushJob(&setupJob{conn: hc, receivedAt: h.world.now, work: float64(h.world.script.Fleet.ProbeWork),
			isProbe: true, wantsReport: text == "STATS"})
	case strings.HasPrefix(text, "OPEN ") && hc.flow != nil && hc.job == nil:
		h.receiveOpen(hc, line)
	default:
		h.rejectLine(hc, "neither PING nor OPEN: "+text)
	}
}

// rejectLine answers an invalid line and closes the connection.
func (h *host) rejectLine(hc *hostConn, reason string) {
	h.world.recordInvalidLine(hc, reason)
	h.world.sendToNode(hc.Conn, "SYNTAX\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// echo sends a line of an established flow back: at once, or after the work that is before it, as the script's
// fleet.echo says. A paused host echoes after its pause.
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

// receiveBulk implements bulkPeer: it sends many lines back at once.
func (h *host) receiveBulk(c *Conn, data []byte) bool {
	hc, ok := c.peerState.(*hostConn)
	if !ok || hc.hosted == nil || h.world.script.Fleet.EchoMode != "at_once" || h.pauses > 0 || h.state != hostRunning {
		return false
	}
	h.sendToClient(hc, strings.TrimSuffix(string(data), "\r\n"))
	return true
}

// sendToClient sends a line that the node has to forward to the client.
func (h *host) sendToClient(hc *hostConn, text string) {
	flow, client := hc.flow, hc.client
	h.world.sendToNode(hc.Conn, text+"\r\n", func() {
		if client.flow == flow && client.upSent {
			client.pendingToClient.add(len(text)+2, h.world.now)
		}
	})
}

// receiveOpen handles the line of a connect: the host queues a set-up or refuses it.
func (h *host) receiveOpen(hc *hostConn, line []byte) {
	open, err := lines.ParseOpen(line)
	if err != nil || open.ID != hc.flow.ID || h.world.script.TypeIndex(open.ServiceType) != hc.flow.ServiceType || open.Key != hc.flow.Key {
		h.rejectLine(hc, fmt.Sprint("changed on its way: ", string(line)))
		return
	}
	hc.flow.AddEvent(record.Event{At: h.world.now, Kind: record.ConnectReceived, Host: h.index, Connect: hc.attempt})
	if open.CurrentHost != "" {
		if hc.client.initialHost != h {
			h.rejectLine(hc, "the connection was never here: "+open.CurrentHost)
			return
		}
		h.completeSetup(&setupJob{conn: hc})
		return
	}
	h.countColdConnect()
	fleet := h.world.script.Fleet
	switch {
	case h.listed == "draining":
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.flows)+len(h.activeSetups)+len(h.queuedSetups)) >= fleet.ConnectionCap*h.capacity():
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.queuedSetups)) >= fleet.QueuePerCore*h.cores && len(h.activeSetups) >= int(math.Ceil(fleet.SlotsPerCore*h.cores)):
		h.refuse(hc, "BUSY")
		return
	}
	work := float64(fleet.SetupWork) * (0.7 + 0.6*hc.client.eventRand.Float64())
	hc.job = &setupJob{conn: hc, receivedAt: h.world.now, work: work, timeout: open.ConnectTimeout}
	h.queuedSetups = append(h.queuedSetups, hc.job)
	h.startQueued()
}

// refuse answers a connect with BUSY or ERR, closes its connection and removes it.
func (h *host) refuse(hc *hostConn, answer string) {
	hc.flow.AddEvent(record.Event{At: h.world.now, Kind: record.HostAnswered, Host: h.index, Connect: hc.attempt, Text: answer})
	h.world.sendToNode(hc.Conn, answer+"\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// completeSetup is called when the work of a set-up is done. The flow is established unless the set-up fails.
func (h *host) completeSetup(job *setupJob) {
	hc := job.conn
	if h.state != hostRunning || hc.flow == nil {
		return
	}
	hc.flow.AddEvent(record.Event{At: h.world.now, Kind: record.SetupDone, Host: h.index, Connect: hc.attempt})
	if job.abandoned {
		h.world.run.Counts.WastedSetups++
		h.world.run.Counts.WastedWork += job.work
		return
	}
	if errorRate := h.world.script.Fleet.ErrorRate + h.extraErrorRate; errorRate > 0 && hc.client.eventRand.Float64() < errorRate {
		h.refuse(hc, "ERR")
		return
	}
	h.receipts++
	receipt := fmt.Sprintf("%s.%d.%d", h.uid, h.bootedAt, h.receipts)
	hc.flow.Receipts = append(hc.flow.Receipts, receipt)
	hc.flow.AddEvent(record.Event{At: h.world.now, Kind: record.HostAnswered, Host: h.index, Connect: hc.attempt, Text: "UP"})
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
		h.world.Schedule(hc.client.endsAt, func() {
			if hc.hosted != nil {
				h.sendAway(hc, "BYE")
			}
		})
	}
}

// reportLoad sends the load of a flow, if the script lets hosts report it.
func (h *host) reportLoad(hc *hostConn) {
	if h.world.script.Fleet.SendsLoad {
		h.sendToClient(hc, fmt.Sprintf("LOAD %.0f", hc.hosted.load))
	}
}

// setFlowLoad changes the load of a flow.
func (h *host) setFlowLoad(flow *hostedFlow, load float64) {
	h.load += load - flow.load
	flow.load = load
}

// addToGroup adds by to the number of a group's flows at the host. Each group with at least one flow costs the host a
// fixed amount of work.
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

// sendAway closes a flow with a closing line, MOVE or BYE.
func (h *host) sendAway(hc *hostConn, closingLine string) {
	h.advance()
	h.sendToClient(hc, closingLine)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
	h.scheduleCompletion()
}

// closed implements peer.
func (h *host) closed(c *Conn, broken bool) {
	if hc, ok := c.peerState.(*hostConn); ok {
		h.advance()
		h.removeConn(hc)
		h.scheduleCompletion()
	}
}

// removeConn removes a connection and its flow, if any.
func (h *host) removeConn(hc *hostConn) {
	if hc.index < 0 {
		return
	}
	lastIndex := len(h.conns) - 1
	h.conns[hc.index] = h.conns[lastIndex]
	h.conns[hc.index].index = hc.index
	h.conns[lastIndex] = nil
	h.conns = h.conns[:lastIndex]
	hc.index = -1
	if hc.job != nil {
		hc.job.abandoned = true
	}
	if hosted := hc.hosted; hosted != nil {
		h.setFlowLoad(hosted, 0)
		h.addToGroup(hc.client.group, -1)
		lastIndex := len(h.flows) - 1
		h.flows[hosted.index] = h.flows[lastIndex]
		h.flows[hosted.index].index = hosted.index
		h.flows[lastIndex] = nil
		h.flows = h.flows[:lastIndex]
		hc.hosted = nil
	}
	if len(h.flows) == 0 {
		h.load = 0 // removes rounding errors
	}
}

// loadChanged applies a new load of a client to its flow.
func (h *host) loadChanged(hc *hostConn) {
	if hc.hosted != nil && h.state == hostRunning {
		h.advance()
		h.setFlowLoad(hc.hosted, hc.client.load*h.world.unitLoadRate())
		h.reportLoad(hc)
		h.scheduleCompletion()
	}
}
