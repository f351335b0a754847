// Package peers puts what nodes tell each other into datagrams and takes it out again: hosts' load, and which hosts hold
// which groups. A datagram may be lost, come late or be anyone's: what does not make sense is dropped whole.
package peers

import (
	"math"

	"coursewinch/balance"
)

const (
	version        = 1
	shortHashSize  = 3   // bytes of a hash
	headerSize     = 2   // the version and the number of loads
	loadEntrySize  = 4   // a host's short hash and its load
	groupEntrySize = 6   // the short hashes of a group and of a host
	Most           = 256 // bytes of a datagram
	loadSteps      = 32  // in which a load of one is told
)

// Short is the part of a hash that is told.
func Short(hash uint64) uint32 { return uint32(hash & (1<<(8*shortHashSize) - 1)) }

func appendShortHash(p []byte, hash uint64) []byte {
	return append(p, byte(hash), byte(hash>>8), byte(hash>>16))
}

func readShortHash(p []byte) uint32 { return uint32(p[0]) | uint32(p[1])<<8 | uint32(p[2])<<16 }

// Write puts all into as few datagrams as hold it.
func Write(servers []*balance.Server, homes []balance.Home, send func([]byte)) {
	for len(servers)+len(homes) > 0 {
		n := min(len(servers), (Most-headerSize)/loadEntrySize)
		p := append(make([]byte, 0, Most), version, byte(n))
		for _, s := range servers[:n] {
			p = appendShortHash(p, s.Hash)
			p = append(p, byte(min(math.Round(max(s.Busy(), 0)*loadSteps), 255)))
		}
		m := min(len(homes), (Most-len(p))/groupEntrySize)
		for _, h := range homes[:m] {
			p = appendShortHash(p, h.Group.Hash)
			p = appendShortHash(p, h.Server.Hash)
		}
		servers, homes = servers[n:], homes[m:]
		send(p)
	}
}

// Read gives all that a datagram tells; false for what is no such.
func Read(p []byte, loads func(host uint32, busy float64), homes func(group, host uint32)) bool {
	if len(p) < headerSize || len(p) > Most || p[0] != version {
		return false
	}
	n, rest := int(p[1]), len(p)-headerSize-int(p[1])*loadEntrySize
	if rest < 0 || rest%groupEntrySize != 0 {
		return false
	}
	p = p[headerSize:]
	for range n {
		loads(readShortHash(p), float64(p[shortHashSize])/loadSteps)
		p = p[loadEntrySize:]
	}
	for len(p) > 0 {
		homes(readShortHash(p), readShortHash(p[shortHashSize:]))
		p = p[groupEntrySize:]
	}
	return true
}
