package node

import (
	"coursewinch/balance"
	"coursewinch/cluster/peers"
	"coursewinch/discovery"
)

// The hosts that a node knows from lists of discovery.

// Names of host states in lists.
const (
	listedReady    = "ready"
	listedDraining = "draining"
	listedGone     = "gone"
)

// listedState returns the state of a host that a list gives by name. A name that is not known counts as gone.
func listedState(name string) balance.State {
	switch name {
	case listedReady:
		return balance.Up
	case listedDraining:
		return balance.Draining
	}
	return balance.Removed
}

// listedName returns the name of a host state in lists.
func listedName(state balance.State) string {
	switch state {
	case balance.Up:
		return listedReady
	case balance.Draining:
		return listedDraining
	}
	return listedGone
}

// applyList updates the hosts from a list and passes it to the module.
func (n *Node) applyList(kind balance.ListKind, update discovery.List) {
	n.decider.BeginList(kind)
	for _, entry := range update.Entries {
		h := n.hosts[entry.UID]
		if h == nil && len(n.hosts) >= n.limits.Hosts {
			n.logThrottled("list_cut", "more hosts than are kept")
			continue
		}
		if h == nil {
			h = n.addHost(entry.UID)
		}
		if entry.Endpoint != "" && entry.Endpoint != h.addr {
			h.addr = entry.Endpoint
			n.closeProbe(h)
		}
		h.zoneName = entry.Zone
		h.Zone = n.zoneNumber(entry.Zone)
		h.Cell = entry.Cell
		size := entry.Size
		if size <= 0 {
			size = 1
		}
		state := n.effectiveState(entry.UID, listedState(entry.State))
		n.decider.ListEntry(&h.Server, state, size, entry.BootMs*ms)
	}
	n.decider.EndList(kind)
	n.forgetRemovedHosts()
	n.updateClusterHosts()
}

// addHost adds a host of the list that was not known.
func (n *Node) addHost(uid string) *host {
	h := &host{uid: uid, Server: balance.Server{Name: uid, Hash: hash(uid)}}
	h.probeDeadline.run = func() {
		if h.probeUnsent {
			n.probeFailed(h, balance.Saturated) // says nothing about the host
			return
		}
		n.probeFailed(h, balance.Overdue)
	}
	n.hosts[uid] = h
	n.hostsByShortHash[peers.ShortHash(h.Hash)] = h
	n.hostList = append(n.hostList, h)
	return h
}

// zoneNumber returns the number of a zone. Zones that the settings don't name get distinct negative numbers: a repeat that
// is recognised only within its zone must not go to another unnamed zone.
func (n *Node) zoneNumber(name string) int {
	if no, ok := n.settings.ZoneIndex[name]; ok {
		return no
	}
	return -1 - int(hash(name)>>2)
}

// forgetRemovedHosts removes hosts that have left the list and have no flow and no outstanding probe of this node.
func (n *Node) forgetRemovedHosts() {
	kept := n.hostList[:0]
	for _, h := range n.hostList {
		if h.State == balance.Removed && h.flowCount == 0 && h.probeSentAt == 0 {
			n.closeProbe(h)
			delete(n.hosts, h.uid)
			continue
		}
		kept = append(kept, h)
	}
	clear(n.hostList[len(kept):])
	n.hostList = kept
}

// listEntry returns a host as an entry of a list.
func (n *Node) listEntry(h *host) discovery.Entry {
	return discovery.Entry{UID: h.uid, Endpoint: h.addr, Zone: h.zoneName, Cell: h.Cell, Size: h.Size, BootMs: h.Started / ms,
		State: listedName(h.State)}
}

// entryInState returns a host as an entry of a list, with another state.
func (n *Node) entryInState(h *host, state string) discovery.Entry {
	entry := n.listEntry(h)
	entry.State = state
	return entry
}
