// Coursewinch is one node of the balancer, on sockets. GW_CONFIG names its configuration file. SIGTERM and SIGINT stop it
// gracefully, SIGHUP makes it read the file again, and SIGUSR1 logs its counters.
package main

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"coursewinch/admission"
	"coursewinch/capture"
	"coursewinch/epoll"
	"coursewinch/lines"
	"coursewinch/node"
)

// Descriptors besides the loop's sockets.
const (
	ownDescriptors      = 16                        // standard ones, epoll, the eventfd, the runtime's own, and the listener
	operatorDescriptors = node.MaxOperatorConns + 8 // operators' listener and connections, and what a handover takes
	peerDescriptors     = 1                         // the datagram socket
)

// Times in microseconds.
const (
	measuringWait  = 1000    // longest wait while a response time is measured: overshoot shows how late the node runs
	rebindInterval = 100_000 // between attempts to bind the cluster address while the predecessor holds it
	refusalTimeout = 100_000 // at the end of the process, for refused clients to receive their answer
)

// wideRingShare is the divisor of the memory limit that gives the memory for wide rings.
const wideRingShare = 16

var _ epoll.Handler = (*node.Node)(nil)

// nodeHandler is the loop's handler. It is created before the node, which needs the loop.
type nodeHandler struct{ *node.Node }

// process is the running program.
type process struct {
	configPath string
	config     *config
	maxSockets int // limit of descriptors
	reserved   int // of these, descriptors besides the loop's sockets
	handler    *nodeHandler
	loop       *epoll.Loop
	handover   *handoverManager
	started    time.Time
	clockBase  int64 // wall clock at started, in microseconds
	stopping   atomic.Bool
	logCounts  atomic.Bool
	reload     atomic.Bool

	clientAddress netip.AddrPort
	adminAddress  string // "off" if there is none
	peerAddress   string // "off" if there is none
	clusterState  string // the bound address, or "off", "alone" or "waiting" without one
	exclusive     bool   // only one process may be bound to the cluster address, because the process started with limits
	rebindAt      int64  // when to try again to bind the cluster address, in microseconds; 0 if no attempt is pending
}

// randomProcessID returns a random number that distinguishes this process from all others.
func randomProcessID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func run() error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	p := &process{configPath: os.Getenv("GW_CONFIG"), handler: &nodeHandler{}, adminAddress: "off", peerAddress: "off"}
	c, err := readConfig(p.configPath)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	p.config = c
	if c.Limits.Memory > 0 { // megabytes; the Go runtime may use three quarters of them
		debug.SetMemoryLimit(c.Limits.Memory << 20 * 3 / 4)
	}
	if err := p.createLoop(); err != nil {
		return err
	}
	nodeConfig := p.nodeConfig()
	if c.Capture.File != "" {
		w, err := capture.Create(c.Capture.File, cmp.Or(c.Capture.MB, defaultCaptureMB)<<20,
			capture.Start{Node: c.Name, Zone: c.parsedSettings.Zone, At: time.Now().UnixMicro()})
		if err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		defer func() {
			w.Close()
			log.Printf("msg=captured dropped=%d stopped=%q", w.Dropped.Load(), w.StopReason())
		}()
		nodeConfig.Capture = w
	}
	p.handler.Node = node.New(c.parsedSettings, nodeConfig, p.loop)
	go p.handleSignals(signals)
	p.started = time.Now()
	p.clockBase = p.started.UnixMicro()
	p.handover.node, p.handover.loop = p.handler.Node, p.loop
	p.handover.maxSockets, p.handover.reservedDescriptors = p.loop.MaxSockets(), p.reserved
	p.handover.reload = p.reloadChangedConfig
	if err := p.listen(); err != nil {
		return err
	}
	p.handler.Begin(p.now(), c.knownList)
	log.Printf("msg=started name=%s listen=%s discovery=%s hosts=%d sockets=%d peers=%s cluster=%s admin=%s", c.Name,
		p.clientAddress, c.Discovery,
		len(c.knownList.Entries), p.maxSockets, p.peerAddress, p.clusterState, p.adminAddress)
	return p.serve()
}

// createLoop creates the event loop, with the sockets that the limit leaves after the process's other descriptors.
func (p *process) createLoop() (err error) {
	c := p.config
	p.maxSockets = c.Limits.Sockets
	if p.maxSockets == 0 {
		p.maxSockets = defaultSockets
	}
	p.handover = &handoverManager{name: c.Name, listen: c.Listen, memoryLimit: c.Limits.Memory << 20, posted: make(chan func(), postedCalls)}
	p.reserved = ownDescriptors
	if c.Admin != "" {
		p.reserved += operatorDescriptors
	}
	if len(c.peerAddresses)+len(c.clusterAddresses) > 0 {
		p.reserved += peerDescriptors
	}
	p.loop, err = epoll.New(p.maxSockets-p.reserved, p.handler, p.handleWake)
	return err
}

// handleSignals records signals for the event loop and wakes it.
func (p *process) handleSignals(signals <-chan os.Signal) {
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			p.logCounts.Store(true)
		case syscall.SIGHUP:
			p.reload.Store(true)
		default:
			p.stopping.Store(true)
		}
		p.loop.Wake()
	}
}

// handleWake does in the event loop what signals and the handover ask for.
func (p *process) handleWake() {
	if p.stopping.Load() {
		p.handler.Stop()
	}
	p.handover.runPosted()
	if p.logCounts.Swap(false) {
		log.Printf("msg=counters %s", p.handler.CountersText())
		log.Printf("msg=holdings %s", p.handler.HoldingsText())
	}
	if p.reload.Swap(false) {
		p.reloadConfig()
		p.handler.ShareReload()
	}
}

// reloadConfig applies the parts of the configuration file that may change while the process runs.
func (p *process) reloadConfig() {
	p.config = reloadConfig(p.configPath, p.config, p.handler.Node)
}

// reloadChangedConfig does the same, unless the file is as this process read it last.
func (p *process) reloadChangedConfig() {
	if text, err := os.ReadFile(p.configPath); err != nil || !bytes.Equal(text, p.config.text) {
		p.reloadConfig()
	}
}

// nodeConfig returns the configuration of the node. Its functions use the loop.
func (p *process) nodeConfig() node.Config {
	c := p.config
	nodeConfig := node.Config{
		Discovery: c.Discovery,
		Seed:      c.seedValue,
		Admission: admission.Limits{
			PerAddress: c.Admission.PerAddress,
			Rate:       c.Admission.Rate,
			Burst:      c.Admission.Burst,
			Reserve:    c.Admission.Reserve,
		},
		Limits: node.Limits{
			Wide:    int(c.Limits.Memory << 20 / wideRingShare / lines.WideRingSize),
			Hosts:   c.Holding.Hosts,
			Groups:  c.Holding.Groups,
			IDs:     c.Holding.IDs,
			Buffers: c.Holding.Buffers,
			Idle:    c.Holding.IdleMs * 1000,
			Stalled: c.Holding.StalledMs * 1000,
		},
	}
	if len(c.peerAddresses) > 0 {
		nodeConfig.Broadcast = func(datagram []byte) {
			for _, to := range p.config.peerAddresses {
				p.loop.SendDatagram(to, datagram)
			}
		}
	}
	if c.Cluster.On {
		nodeConfig.Cluster = node.Cluster{On: true, Name: c.Name, Process: randomProcessID(),
			Others: len(c.clusterAddresses), Limits: c.fleetLimits,
			Send: func(to int, datagram []byte) { p.loop.SendDatagram(p.config.clusterAddresses[to], datagram) }}
	}
	return nodeConfig
}

// now returns the time in microseconds on a monotonic clock, which begins at the wall clock's time, so that the start times
// of hosts need no conversion.
func (p *process) now() int64 { return p.clockBase + time.Since(p.started).Microseconds() }

// listen opens the sockets for operators, clients and other nodes.
func (p *process) listen() error {
	c := p.config
	var err error
	if c.Admin == "" {
		p.clientAddress, err = p.loop.Listen(c.Listen, false)
	} else {
		address, adminErr := p.loop.ListenAdmin(c.Admin)
		if adminErr != nil {
			return fmt.Errorf("admin: %w", adminErr)
		}
		p.adminAddress = address.String()
		p.clientAddress, err = p.handover.openListener()
	}
	if err != nil {
		return err
	}
	if len(c.peerAddresses) > 0 {
		// Datagrams from an address that the file does not name are ignored.
		address, err := p.loop.ListenDatagrams(c.Peers.Listen, false, func(from netip.AddrPort, datagram []byte) {
			if slices.Contains(p.config.peerAddresses, from) {
				p.handler.ReceivePeerDatagram(datagram)
			}
		})
		if err != nil {
			return err
		}
		p.peerAddress = address.String()
	}
	p.clusterState = "off"
	if c.Cluster.On {
		p.clusterState = "alone"
	}
	p.exclusive = len(c.fleetLimits) > 0
	if len(c.clusterAddresses) > 0 {
		return p.listenCluster()
	}
	return nil
}

// listenCluster binds the address for messages of the fleet. If the fleet keeps a limit, only one process may be bound
// to it, because two processes under one name would vote twice. A successor waits until the predecessor closes it.
func (p *process) listenCluster() error {
	address, err := p.loop.ListenDatagrams(p.config.Cluster.Listen, p.exclusive, func(from netip.AddrPort, datagram []byte) {
		p.handler.ReceiveClusterDatagram(slices.Index(p.config.clusterAddresses, from), datagram)
	})
	if errors.Is(err, epoll.ErrAddressTaken) && p.config.Admin != "" {
		p.clusterState, p.rebindAt = "waiting", p.now()+rebindInterval
		return nil
	}
	if p.rebindAt != 0 && err == nil {
		p.handler.ClusterAddressTakenOver(p.now(), address.String())
	}
	p.clusterState, p.rebindAt = address.String(), 0
	return err
}

// shareClusterAddress leaves the cluster address to the successor process where only one process may be bound to it, and binds
// it again if the successor ends first.
func (p *process) shareClusterAddress(now int64) {
	if !p.exclusive || len(p.config.clusterAddresses) == 0 {
		return
	}
	if p.handler.HandedOver() {
		p.loop.CloseDatagrams()
		p.clusterState, p.rebindAt = "waiting", 0
		return
	}
	if p.clusterState == "waiting" && p.rebindAt == 0 {
		p.rebindAt = now
	}
}

// serve runs the event loop until the node has stopped.
func (p *process) serve() error {
	var lag epoll.Lag
	for !p.handler.Done() {
		start, timeout := p.now(), int64(-1)
		if next, ok := p.handler.NextDeadline(); ok {
			timeout = max(next-start, 0)
		}
		if p.handler.Measuring() && (timeout < 0 || timeout > measuringWait) {
			timeout = measuringWait
		}
		if err := p.loop.Wait(timeout); err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		now := p.now()
		if p.rebindAt != 0 && now >= p.rebindAt {
			if err := p.listenCluster(); err != nil {
				return err
			}
		}
		p.shareClusterAddress(now)
		p.handler.ReportLateness(lag.WaitEnded(start, now, timeout, p.loop.EventsFull()))
		p.handler.RunIteration(now, p.loop.Dispatch)
	}
	if !p.handler.HandedOver() {
		p.loop.RefuseQueued(refusalTimeout)
	}
	log.Printf("msg=stopped %s", p.handler.CountersText())
	return p.handover.refused
}

func main() {
	runtime.GOMAXPROCS(1)
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "coursewinch: %v\n", err)
		os.Exit(1)
	}
}
