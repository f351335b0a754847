// Coursewinch is one node of the balancer, on sockets.
package main

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"coursewinch/admission"
	"coursewinch/capture"
	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
	"coursewinch/discovery"
	"coursewinch/epoll"
	"coursewinch/lines"
	"coursewinch/node"
	"coursewinch/settings"
)

// ownDescriptors are the descriptors besides sockets: standard ones, the poll, the waker, the runtime's own, and the listener.
const ownDescriptors = 16

// operatorDescriptors are those for operators: their listener and places, and what handing over to another process takes.
const operatorDescriptors = node.CallPlaces + 8

const measuringWait = 1000 // microseconds, while something is measured: what a wait takes longer, the node was late

const rebindInterval = 100_000 // microseconds, while the process before has the address for links

const refusalTimeout = 100_000 // microseconds, at the end of the process, for those who were turned away to hear it

const maxPeers = 4096 // each is told in a send of its own; guards against a file without sense

const defaultCaptureMB = 64 // that a capture holds at most, where the file doesn't say

type config struct {
	Name      string
	Listen    string
	Admin     string // else from the environment
	Discovery string
	Seed      string
	Limits    struct {
		Memory  int64 `json:"memory_mb"`
		Sockets int
	}
	Capture struct {
		File string
		MB   int64
	}
	Admission struct {
		PerAddress  int `json:"per_address"`
		Rate, Burst float64
		Reserve     int
	}
	Holding struct {
		Hosts, Groups, IDs, Buffers int
		IdleMs                      int64 `json:"idle_ms"`
		StalledMs                   int64 `json:"stalled_ms"`
	}
	Peers struct {
		Listen string
		Nodes  []string
	}
	Cluster struct {
		On     bool
		Listen string
		Nodes  []string
		Limits []struct {
			Over, Of, Promise string
			Rate, Burst       float64
			AtOnce            int `json:"at_once"`
		}
	}
	Known    json.RawMessage
	Settings json.RawMessage

	peerAddresses    []netip.AddrPort
	clusterAddresses []netip.AddrPort  // of the cluster
	fleetLimits      []node.FleetLimit // by the whole of it
	parsedSettings   *settings.Settings
	knownList        discovery.List
	seedValue        int64
}

func readConfig(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, err
	}
	if c.Admin == "" {
		c.Admin = os.Getenv("GW_ADMIN")
	}
	if c.Listen == "" || c.Discovery == "" {
		return nil, errors.New("listen or discovery is missing")
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if c.Admin != "" {
		if _, err := netip.ParseAddrPort(c.Admin); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
		if c.Admin == c.Listen && !strings.HasSuffix(c.Admin, ":0") {
			return nil, fmt.Errorf("admin %s is where clients connect", c.Admin)
		}
	}
	minSockets := 2 * ownDescriptors
	if c.Admin != "" {
		minSockets += operatorDescriptors
	}
	if c.Limits.Memory < 0 || c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits of %d MB and %d sockets can't be kept", c.Limits.Memory, c.Limits.Sockets)
	}
	if h := c.Holding; min(h.Hosts, h.Groups, h.IDs, h.Buffers) < 0 || min(h.IdleMs, h.StalledMs) < 0 {
		return nil, fmt.Errorf("holding %+v: nothing under 0", h)
	}
	if c.Capture.MB < 0 || c.Capture.MB > 1<<20 {
		return nil, fmt.Errorf("capture of %d MB: 0 (for %d) to %d", c.Capture.MB, defaultCaptureMB, 1<<20)
	}
	if a := c.Admission; a.PerAddress < 0 || a.Rate < 0 || a.Burst < 0 || a.Reserve < 0 || a.Reserve > max(c.Limits.Sockets, 1024)/2 {
		return nil, fmt.Errorf("admission %+v: nothing under 0, and no more than half of the sockets in reserve", a)
	}
	if c.parsedSettings, err = settings.JSON(c.Settings); err != nil {
		return nil, err
	}
	if err := c.checkPeers(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if err := c.checkCluster(); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if c.Seed != "" {
		seed, err := strconv.ParseUint(c.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q is no hexadecimal number", c.Seed)
		}
		c.seedValue = int64(seed)
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.knownList, err = discovery.ParseList(c.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return &c, nil
}

// checkPeers reads the other nodes' addresses. Nothing is sent or heard unless both the file and the settings say so.
func (c *config) checkPeers() (err error) {
	if c.Peers.Listen == "" && len(c.Peers.Nodes) == 0 {
		return nil
	}
	if !c.parsedSettings.Peers {
		return errors.New("the settings allow no messages between nodes")
	}
	if c.Peers.Listen == "" || len(c.Peers.Nodes) == 0 || len(c.Peers.Nodes) > maxPeers {
		return fmt.Errorf("an address to listen at and 1 to %d nodes are wanted", maxPeers)
	}
	c.peerAddresses, err = parseAddresses(c.Peers.Listen, c.Peers.Nodes)
	return err
}

// parseAddresses reads where this node hears others and where it reaches them.
func parseAddresses(listen string, nodes []string) (all []netip.AddrPort, err error) {
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return nil, err
	}
	for _, text := range nodes {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if at.Port() == 0 || slices.Contains(all, at) || text == listen {
			return nil, fmt.Errorf("%s has no port, is named twice or is this node", text)
		}
		all = append(all, at)
	}
	return all, nil
}

// checkCluster reads the fleet that this node is one of. On without addresses, it goes by what it sees itself.
func (c *config) checkCluster() (err error) {
	k := c.Cluster
	if err := c.checkLimits(); err != nil {
		return err
	}
	switch {
	case !k.On && (k.Listen != "" || len(k.Nodes) > 0):
		return errors.New("addresses are given, and it is not on")
	case !k.On || k.Listen == "" && len(k.Nodes) == 0:
		return nil
	case k.Listen == "" || len(k.Nodes) == 0 || len(k.Nodes) > maxPeers:
		return fmt.Errorf("an address to listen at and 1 to %d nodes are wanted", maxPeers)
	case len(c.peerAddresses) > 0:
		return errors.New("peers are given as well; one of the two")
	case c.Name == "":
		return errors.New("a node of a fleet wants a name")
	}
	c.clusterAddresses, err = parseAddresses(k.Listen, k.Nodes)
	return err
}

// checkLimits reads what the whole fleet is to keep.
func (c *config) checkLimits() error {
	for i, entry := range c.Cluster.Limits {
		strict := entry.Promise == "strict"
		limit := node.FleetLimit{Over: entry.Over, Of: entry.Of, Rate: limits.Limit{Rate: entry.Rate, Burst: entry.Burst, Strict: strict},
			AtOnce: permits.Limit{Most: entry.AtOnce, Strict: strict}}
		switch {
		case !c.Cluster.On:
			return errors.New("limits are given, and it is not on")
		case !strict && entry.Promise != "available":
			return fmt.Errorf("limit %d promises %q: \"strict\" or \"available\"", i, entry.Promise)
		case slices.ContainsFunc(c.fleetLimits, limit.Same):
			return fmt.Errorf("limit %d is a second one for one thing", i)
		}
		if err := limit.Check(len(c.Cluster.Nodes) + 1); err != nil {
			return fmt.Errorf("limit %d: %w", i, err)
		}
		c.fleetLimits = append(c.fleetLimits, limit)
	}
	return nil
}

// reloadConfig reads the file anew and gives the config that holds from now on. Guards a node in service against a file that
// can't be used. Only discovery changes while it runs; of the rest it says what waits for the next start.
func reloadConfig(path string, old *config, n *node.Node) *config {
	c, err := readConfig(path)
	if err != nil {
		log.Printf("msg=config_kept why=%q", err)
		return old
	}
	nextStart := ""
	for _, part := range []struct {
		name string
		same bool
	}{{"name", c.Name == old.Name}, {"capture", c.Capture == old.Capture}, {"admission", c.Admission == old.Admission}, {"holding", c.Holding == old.Holding},
		{"listen", c.Listen == old.Listen}, {"admin", c.Admin == old.Admin}, {"limits", c.Limits == old.Limits},
		{"peers", slices.Equal(c.peerAddresses, old.peerAddresses) && c.Peers.Listen == old.Peers.Listen},
		{"cluster", c.Cluster.On == old.Cluster.On && c.Cluster.Listen == old.Cluster.Listen && slices.Equal(c.clusterAddresses, old.clusterAddresses) && n.SetLimits(c.fleetLimits)},
		{"settings", bytes.Equal(c.Settings, old.Settings)}} {
		if !part.same {
			nextStart += part.name + ","
		}
	}
	log.Printf("msg=config_read discovery=%s next_start=%q", c.Discovery, strings.TrimSuffix(nextStart, ","))
	c.Listen, c.Admin, c.Limits, c.Settings = old.Listen, old.Admin, old.Limits, old.Settings
	c.Peers, c.peerAddresses = old.Peers, old.peerAddresses
	c.Cluster, c.clusterAddresses = old.Cluster, old.clusterAddresses
	c.Name, c.Capture, c.Admission, c.Holding, c.parsedSettings = old.Name, old.Capture, old.Admission, old.Holding, old.parsedSettings // what runs goes by these still
	n.Follow(c.Discovery)
	return c
}

// randomProcessID draws what tells this process from all others.
func randomProcessID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// nodeHandler passes what the sockets bring on to the node, which is made after them.
type nodeHandler struct{ *node.Node }

func run() error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	c, err := readConfig(path)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if c.Limits.Memory > 0 {
		debug.SetMemoryLimit(c.Limits.Memory << 20 * 3 / 4)
	}
	most := c.Limits.Sockets
	if most == 0 {
		most = 1024
	}
	var stop, say, again atomic.Bool
	d := &nodeHandler{}
	s := &handoverManager{name: c.Name, listen: c.Listen, memoryLimit: c.Limits.Memory << 20, posted: make(chan func(), 64)}
	apart := ownDescriptors
	if c.Admin != "" {
		apart += operatorDescriptors
	}
	if len(c.peerAddresses)+len(c.clusterAddresses) > 0 {
		apart++
	}
	loop, err := epoll.New(most-apart, d, func() {
		if stop.Load() {
			d.Stop()
		}
		s.runPosted()
		if say.Swap(false) {
			log.Printf("msg=counters %s", d.CountersText())
			log.Printf("msg=holdings %s", d.HoldingsText())
		}
		if again.Swap(false) {
			c = reloadConfig(path, c, d.Node)
		}
	})
	if err != nil {
		return err
	}
	conf := node.Config{Discovery: c.Discovery, Seed: c.seedValue, Admission: admission.Limits{PerAddress: c.Admission.PerAddress,
		Rate: c.Admission.Rate, Burst: c.Admission.Burst, Reserve: c.Admission.Reserve}, Limits: node.Limits{Wide: int(c.Limits.Memory << 20 / 16 / lines.WideSize), // a sixteenth
		Hosts: c.Holding.Hosts, Groups: c.Holding.Groups, IDs: c.Holding.IDs,
		Buffers: c.Holding.Buffers, Idle: c.Holding.IdleMs * 1000, Stalled: c.Holding.StalledMs * 1000}}
	if len(c.peerAddresses) > 0 {
		conf.Tell = func(p []byte) {
			for _, at := range c.peerAddresses {
				loop.SendDatagram(at, p)
			}
		}
	}
	if c.Cluster.On {
		conf.Cluster = node.Cluster{On: true, Name: c.Name, Process: randomProcessID(), Others: len(c.clusterAddresses), Limits: c.fleetLimits,
			Send: func(to int, p []byte) { loop.SendDatagram(c.clusterAddresses[to], p) }}
	}
	if c.Capture.File != "" {
		w, err := capture.Create(c.Capture.File, cmp.Or(c.Capture.MB, defaultCaptureMB)<<20,
			capture.Start{Node: c.Name, Zone: c.parsedSettings.Zone, At: time.Now().UnixMicro()})
		if err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		defer func() {
			w.Close()
			log.Printf("msg=captured dropped=%d stopped=%q", w.Dropped.Load(), w.Why())
		}()
		conf.Capture = w
	}
	d.Node = node.New(c.parsedSettings, conf, loop)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				say.Store(true)
			case syscall.SIGHUP:
				again.Store(true)
			default:
				stop.Store(true)
			}
			loop.Wake()
		}
	}()
	start := time.Now()
	base := start.UnixMicro() // the wall clock, so that hosts' start times need no turning
	clock := func() int64 { return base + time.Since(start).Microseconds() }
	s.node, s.loop, s.maxSockets, s.reservedDescriptors = d.Node, loop, loop.MaxSockets(), apart
	admin, at := "off", netip.AddrPort{}
	if c.Admin != "" {
		bound, err := loop.ListenAdmin(c.Admin)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		admin = bound.String()
	}
	if c.Admin == "" {
		at, err = loop.Listen(c.Listen, false)
	} else {
		at, err = s.openListener()
	}
	if err != nil {
		return err
	}
	heard := "off"
	if len(c.peerAddresses) > 0 {
		// Guards against datagrams of others: an address that the file doesn't name is not heard.
		bound, err := loop.ListenDatagrams(c.Peers.Listen, false, func(from netip.AddrPort, p []byte) {
			if slices.Contains(c.peerAddresses, from) {
				d.Heard(p)
			}
		})
		if err != nil {
			return err
		}
		heard = bound.String()
	}
	cluster := map[bool]string{true: "alone", false: "off"}[c.Cluster.On]
	// Where the fleet keeps a limit, a node's address is one process's alone: two under one name would vote twice. A new
	// version waits for the old one to give it up.
	var retry int64
	listen := func() error {
		bound, err := loop.ListenDatagrams(c.Cluster.Listen, len(c.fleetLimits) > 0, func(from netip.AddrPort, p []byte) {
			d.HeardFrom(slices.Index(c.clusterAddresses, from), p)
		})
		if errors.Is(err, epoll.ErrAddressTaken) && c.Admin != "" {
			cluster, retry = "waiting", clock()+rebindInterval
			return nil
		}
		if retry != 0 && err == nil {
			log.Printf("msg=cluster listen=%s", bound)
		}
		cluster, retry = bound.String(), 0
		return err
	}
	if len(c.clusterAddresses) > 0 {
		if err := listen(); err != nil {
			return err
		}
	}
	d.Begin(clock(), c.knownList)
	log.Printf("msg=started name=%s listen=%s discovery=%s hosts=%d sockets=%d peers=%s cluster=%s admin=%s", c.Name, at, c.Discovery,
		len(c.knownList.Entries), most, heard, cluster, admin)
	var lag epoll.Lag
	for !d.Done() {
		asleep, wait := clock(), int64(-1)
		if next, ok := d.Next(); ok {
			wait = max(next-asleep, 0)
		}
		if d.Measuring() && (wait < 0 || wait > measuringWait) {
			wait = measuringWait
		}
		if err := loop.Wait(wait); err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		now := clock()
		if retry != 0 && now >= retry {
			if err := listen(); err != nil {
				return err
			}
		}
		if len(c.fleetLimits) > 0 && d.Yielded() {
			loop.CloseDatagrams()
		}
		d.Late(lag.WaitEnded(asleep, now, wait, loop.EventsFull()))
		d.Turn(now, loop.Dispatch)
	}
	if !d.HandedOver() {
		loop.RefuseQueued(refusalTimeout)
	}
	log.Printf("msg=stopped %s", d.CountersText())
	return nil
}

var _ epoll.Handler = (*node.Node)(nil)

func main() {
	runtime.GOMAXPROCS(1)
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "coursewinch: %v\n", err)
		os.Exit(1)
	}
}
