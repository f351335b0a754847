// Package frame puts what one node sends another into a datagram and takes it out again. A datagram may be cut short, bent
// on its way or anyone's: each fault has a name, so that it can be counted, and nothing of a faulty one is used.
package frame

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	magic        = 0xC7
	version      = 1
	headerSize   = 33 // before the payload
	checksumSize = 4  // checksum

	Most        = 1200                             // bytes of a datagram: fits any path without being taken apart
	MostPayload = Most - headerSize - checksumSize // bytes
)

// Head is what each datagram says of its sender. No time of any clock is in it.
type Head struct {
	Name    uint32 // short hash of the sender's name
	Process uint64 // drawn at random by each process when it starts: two of one name differ
	Seq     uint32 // counted by the process, one a datagram to this receiver
	Echo    uint64 // the receiver's process as the sender heard it last; 0 for none
	EchoSeq uint32 // and the last Seq that it had of it
	Late    bool   // the sender's loop is late: it judges nobody
	Leaving bool   // the sender ends
}

// Fault is why a datagram can't be used.
type Fault uint8

const (
	None      Fault = iota
	Short           // cut short, or empty
	Oversized       // longer than any of ours
	Foreign         // does not begin as ours do
	Version         // of another version
	Bent            // its checksum or its length is wrong
	Replayed        // an older one of this process, or seen before
	Stranger        // from no address of the list
	Nonsense        // whole, but its figures can't be
	Faults          // how many there are
)

var faultNames = [...]string{"none", "short", "oversized", "foreign", "version", "bent", "replayed", "stranger", "nonsense"}

func (f Fault) String() string { return faultNames[f] }

const (
	flagLate = 1 << iota
	flagLeaving
	knownFlags = flagLate | flagLeaving
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Write makes a datagram. The payload is MostPayload bytes at most; what is longer is cut off.
func Write(h Head, payload []byte) []byte {
	payload = payload[:min(len(payload), MostPayload)]
	p := make([]byte, 0, headerSize+len(payload)+checksumSize)
	flags := byte(0)
	if h.Late {
		flags |= flagLate
	}
	if h.Leaving {
		flags |= flagLeaving
	}
	p = append(p, magic, version, flags)
	p = binary.LittleEndian.AppendUint32(p, h.Name)
	p = binary.LittleEndian.AppendUint64(p, h.Process)
	p = binary.LittleEndian.AppendUint32(p, h.Seq)
	p = binary.LittleEndian.AppendUint64(p, h.Echo)
	p = binary.LittleEndian.AppendUint32(p, h.EchoSeq)
	p = binary.LittleEndian.AppendUint16(p, uint16(len(payload)))
	p = append(p, payload...)
	return binary.LittleEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

// Read takes a datagram apart. The payload lies within p.
func Read(p []byte) (h Head, payload []byte, fault Fault) {
	switch {
	case len(p) > Most:
		return h, nil, Oversized
	case len(p) == 0:
		return h, nil, Short
	case p[0] != magic:
		return h, nil, Foreign
	case len(p) < 2:
		return h, nil, Short
	case p[1] != version:
		return h, nil, Version
	case len(p) < headerSize+checksumSize:
		return h, nil, Short
	}
	body, sum := p[:len(p)-checksumSize], binary.LittleEndian.Uint32(p[len(p)-checksumSize:])
	length := int(binary.LittleEndian.Uint16(p[headerSize-2:]))
	if len(body) < headerSize+length {
		return h, nil, Short
	}
	if len(body) > headerSize+length || crc32.Checksum(body, castagnoli) != sum || p[2]&^knownFlags != 0 {
		return h, nil, Bent
	}
	h = Head{Name: binary.LittleEndian.Uint32(p[3:]), Process: binary.LittleEndian.Uint64(p[7:]),
		Seq: binary.LittleEndian.Uint32(p[15:]), Echo: binary.LittleEndian.Uint64(p[19:]),
		EchoSeq: binary.LittleEndian.Uint32(p[27:]), Late: p[2]&flagLate != 0, Leaving: p[2]&flagLeaving != 0}
	return h, body[headerSize:], None
}
