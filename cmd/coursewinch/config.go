package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
	"coursewinch/discovery"
	"coursewinch/node"
	"coursewinch/settings"
)

const (
	defaultSockets   = 1024    // limit of descriptors if the file has none
	defaultCaptureMB = 64      // limit of a capture's size if the file has none
	maxCaptureMB     = 1 << 20 // highest limit of a capture's size
	maxPeers         = 4096    // each message is sent to each of them; more are a mistake in the file
)

// config is the configuration file. Its exported fields are decoded from JSON under their names or tags.
type config struct {
	Name      string
	Listen    string
	Admin     string // operators' address; the environment's GW_ADMIN if empty
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

	text             []byte // the file as it was read
	peerAddresses    []netip.AddrPort
	clusterAddresses []netip.AddrPort  // of the fleet's other nodes
	fleetLimits      []node.FleetLimit // limits that the whole fleet keeps
	parsedSettings   *settings.Settings
	knownList        discovery.List
	seedValue        int64
}

// readConfig reads and checks the configuration file.
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
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.checkResources(); err != nil {
		return nil, err
	}
	if c.parsedSettings, err = settings.ParseJSON(c.Settings); err != nil {
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
			return nil, fmt.Errorf("seed %q is not a hexadecimal number", c.Seed)
		}
		c.seedValue = int64(seed)
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.knownList, err = discovery.ParseList(c.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.text = text
	return &c, nil
}

// checkAddresses checks the addresses of clients, operators and discovery.
func (c *config) checkAddresses() error {
	if c.Listen == "" || c.Discovery == "" {
		return errors.New("listen or discovery is missing")
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Admin == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.Admin); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	if c.Admin == c.Listen && !strings.HasSuffix(c.Admin, ":0") {
		return fmt.Errorf("admin %s is the address of clients", c.Admin)
	}
	return nil
}

// checkResources checks limits, holding, capture and admission.
func (c *config) checkResources() error {
	minSockets := 2 * ownDescriptors
	if c.Admin != "" {
		minSockets += operatorDescriptors
	}
	if c.Limits.Memory < 0 || c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets < minSockets {
		return fmt.Errorf("limits of %d MB and %d sockets: they must not be negative, and %d sockets are needed",
			c.Limits.Memory, c.Limits.Sockets, minSockets)
	}
	if h := c.Holding; min(h.Hosts, h.Groups, h.IDs, h.Buffers) < 0 || min(h.IdleMs, h.StalledMs) < 0 {
		return fmt.Errorf("holding %+v: values must not be negative", h)
	}
	if c.Capture.MB < 0 || c.Capture.MB > maxCaptureMB {
		return fmt.Errorf("capture of %d MB: want 0 (for %d) to %d", c.Capture.MB, defaultCaptureMB, maxCaptureMB)
	}
	if a := c.Admission; a.PerAddress < 0 || a.Rate < 0 || a.Burst < 0 || a.Reserve < 0 ||
		a.Reserve > max(c.Limits.Sockets, defaultSockets)/2 {
		return fmt.Errorf("admission %+v: values must not be negative, and the reserve at most half of the sockets", a)
	}
	return nil
}

// checkPeers reads the other nodes' addresses. Nodes exchange messages only if both the file and the settings say so.
func (c *config) checkPeers() (err error) {
	if c.Peers.Listen == "" && len(c.Peers.Nodes) == 0 {
		return nil
	}
	if !c.parsedSettings.PeerMessages {
		return errors.New("the settings allow no messages between nodes")
	}
	if c.Peers.Listen == "" || len(c.Peers.Nodes) == 0 || len(c.Peers.Nodes) > maxPeers {
		return fmt.Errorf("an address to listen at and 1 to %d nodes are required", maxPeers)
	}
	c.peerAddresses, err = parseAddresses(c.Peers.Listen, c.Peers.Nodes)
	return err
}

// parseAddresses checks the address at which this node receives messages, and parses those of the other nodes.
func parseAddresses(listen string, nodes []string) (all []netip.AddrPort, err error) {
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return nil, err
	}
	for _, text := range nodes {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if address.Port() == 0 || slices.Contains(all, address) || text == listen {
			return nil, fmt.Errorf("%s has no port, is named twice or is this node", text)
		}
		all = append(all, address)
	}
	return all, nil
}

// checkCluster reads the fleet that this node belongs to. If the cluster is on without addresses, the node relies on
// its own measurements.
func (c *config) checkCluster() (err error) {
	cluster := c.Cluster
	if err := c.checkLimits(); err != nil {
		return err
	}
	switch {
	case !cluster.On && (cluster.Listen != "" || len(cluster.Nodes) > 0):
		return errors.New("addresses are given, but it is not on")
	case !cluster.On || cluster.Listen == "" && len(cluster.Nodes) == 0:
		return nil
	case cluster.Listen == "" || len(cluster.Nodes) == 0 || len(cluster.Nodes) > maxPeers:
		return fmt.Errorf("an address to listen at and 1 to %d nodes are required", maxPeers)
	case len(c.peerAddresses) > 0:
		return errors.New("peers are given as well; only one of the two is allowed")
	case c.Name == "":
		return errors.New("a node of a fleet needs a name")
	}
	c.clusterAddresses, err = parseAddresses(cluster.Listen, cluster.Nodes)
	return err
}

// checkLimits reads the limits that the whole fleet keeps.
func (c *config) checkLimits() error {
	for i, entry := range c.Cluster.Limits {
		strict := entry.Promise == "strict"
		limit := node.FleetLimit{Over: entry.Over, Of: entry.Of, Rate: limits.Limit{Rate: entry.Rate, Burst: entry.Burst, Strict: strict},
			AtOnce: permits.Limit{Max: entry.AtOnce, Strict: strict}}
		switch {
		case !c.Cluster.On:
			return errors.New("limits are given, but it is not on")
		case !strict && entry.Promise != "available":
			return fmt.Errorf("limit %d promises %q: want \"strict\" or \"available\"", i, entry.Promise)
		case slices.ContainsFunc(c.fleetLimits, limit.Same):
			return fmt.Errorf("limit %d repeats an earlier limit", i)
		}
		if err := limit.Check(len(c.Cluster.Nodes) + 1); err != nil {
			return fmt.Errorf("limit %d: %w", i, err)
		}
		c.fleetLimits = append(c.fleetLimits, limit)
	}
	return nil
}

// reloadConfig reads the file again and returns the configuration that is in effect from now on. A file that cannot be used
// changes nothing, so that the node stays in service. While the node runs, only discovery changes, and the figures of the
// fleet's limits if the rest of the cluster section is as before. The log names the parts that take effect at the next start.
func reloadConfig(path string, old *config, n *node.Node) *config {
	c, err := readConfig(path)
	if err != nil {
		log.Printf("msg=config_kept why=%q", err)
		return old
	}
	nextStart := ""
	// The comparison of "cluster" also applies the limits: SetLimits reports whether the node keeps exactly these limits.
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == old.Name},
		{"capture", c.Capture == old.Capture},
		{"admission", c.Admission == old.Admission},
		{"holding", c.Holding == old.Holding},
		{"listen", c.Listen == old.Listen},
		{"admin", c.Admin == old.Admin},
		{"limits", c.Limits == old.Limits},
		{"peers", slices.Equal(c.peerAddresses, old.peerAddresses) && c.Peers.Listen == old.Peers.Listen},
		{"cluster", c.Cluster.On == old.Cluster.On && c.Cluster.Listen == old.Cluster.Listen &&
			slices.Equal(c.clusterAddresses, old.clusterAddresses) && n.SetLimits(c.fleetLimits)},
		{"settings", bytes.Equal(c.Settings, old.Settings)},
	} {
		if !part.same {
			nextStart += part.name + ","
		}
	}
	log.Printf("msg=config_read discovery=%s next_start=%q", c.Discovery, strings.TrimSuffix(nextStart, ","))
	// The other parts keep the values that the process started with.
	c.Listen, c.Admin, c.Limits, c.Settings = old.Listen, old.Admin, old.Limits, old.Settings
	c.Peers, c.peerAddresses = old.Peers, old.peerAddresses
	c.Cluster, c.clusterAddresses = old.Cluster, old.clusterAddresses
	c.Name, c.Capture, c.Admission = old.Name, old.Capture, old.Admission
	c.Holding, c.parsedSettings = old.Holding, old.parsedSettings
	n.SetDiscovery(c.Discovery)
	return c
}
