// Package peers encodes and decodes the messages by which nodes share the load of hosts and the preferred servers of
// groups. A datagram may be lost, arrive late or be sent by anyone: an invalid one is dropped as a whole.
package peers

import (
	"math"

	"coursewinch/balance"
)

// Layout of a datagram: version, number of loads, entries of loads, entries of groups up to the end.
const (
	version        = 1
	shortHashSize  = 3 // bytes
	headerSize     = 2 // bytes: the version and the number of loads
	loadEntrySize  = 4 // bytes: a host's short hash and its load
	groupEntrySize = 6 // bytes: the short hashes of a group and of its preferred server

	MaxDatagramSize = 256 // maximum size of a datagram in bytes

	loadSteps = 32 // steps for a load of 1, which is a saturated host
)

// ShortHash returns the part of a hash that datagrams carry.
func ShortHash(hash uint64) uint32 { return uint32(hash & (1<<(8*shortHashSize) - 1)) }

// appendShortHash appends the short form of a hash.
func appendShortHash(p []byte, hash uint64) []byte {
	return append(p, byte(hash), byte(hash>>8), byte(hash>>16))
}

// readShortHash returns the short hash at the beginning of p.
func readShortHash(p []byte) uint32 { return uint32(p[0]) | uint32(p[1])<<8 | uint32(p[2])<<16 }

// Encode encodes the loads of servers and the preferred servers of groups into as few datagrams as hold them, and calls
// send with each.
func Encode(servers []*balance.Server, placements []balance.GroupPlacement, send func([]byte)) {
	for len(servers)+len(placements) > 0 {
		loads := min(len(servers), (MaxDatagramSize-headerSize)/loadEntrySize)
		p := append(make([]byte, 0, MaxDatagramSize), version, byte(loads))
		for _, s := range servers[:loads] {
			p = appendShortHash(p, s.Hash)
			p = append(p, byte(min(math.Round(max(s.ReportedLoad(), 0)*loadSteps), 255)))
		}
		groups := min(len(placements), (MaxDatagramSize-len(p))/groupEntrySize)
		for _, placement := range placements[:groups] {
			p = appendShortHash(p, placement.Group.Hash)
			p = appendShortHash(p, placement.Server.Hash)
		}
		servers, placements = servers[loads:], placements[groups:]
		send(p)
	}
}

// Decode decodes a datagram and calls onLoad and onPlacement with each entry. Loads are shares of what the host can do.
// It returns false, without any call, for an invalid datagram.
func Decode(p []byte, onLoad func(host uint32, load float64), onPlacement func(group, host uint32)) bool {
	if len(p) < headerSize || len(p) > MaxDatagramSize || p[0] != version {
		return false
	}
	hosts := int(p[1])
	rest := len(p) - headerSize - hosts*loadEntrySize
	if rest < 0 || rest%groupEntrySize != 0 {
		return false
	}
	p = p[headerSize:]
	for range hosts {
		onLoad(readShortHash(p), float64(p[shortHashSize])/loadSteps)
		p = p[loadEntrySize:]
	}
	for len(p) > 0 {
		onPlacement(readShortHash(p), readShortHash(p[shortHashSize:]))
		p = p[groupEntrySize:]
	}
	return true
}
