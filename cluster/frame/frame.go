// Package frame encodes and decodes the datagrams between nodes: a header, a payload and a checksum. A datagram may be
// truncated, corrupted on its way or sent by anyone. Each fault has a name, so that it can be counted, and nothing of a
// faulty datagram is used.
package frame

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	magic        = 0xC7 // first byte of every datagram
	version      = 1    // second byte
	headerSize   = 33   // bytes before the payload
	checksumSize = 4    // bytes after it

	Most        = 1200                             // maximum size of a datagram in bytes; it fits any path without fragmentation
	MostPayload = Most - headerSize - checksumSize // maximum size of a payload in bytes
)

// Head is the header of a datagram. It carries no time of any clock.
type Head struct {
	Name    uint32 // short hash of the sender's name
	Process uint64 // random identifier that each process draws when it starts, so that two of one name differ
	Seq     uint32 // number of the datagram, counted by the process for each receiver
	Echo    uint64 // the receiver's process that the sender heard last; 0 for none
	EchoSeq uint32 // the last Seq of that process
	Late    bool   // the sender's loop is late, so it takes no node for lost
	Leaving bool   // the sender is about to end
}

// Fault is why a datagram cannot be used.
type Fault uint8

// Faults of datagrams.
const (
	None      Fault = iota
	Short           // truncated or empty
	Oversized       // larger than the maximum
	Foreign         // does not begin with the magic byte
	Version         // of another version
	Bent            // wrong checksum, length or flags
	Replayed        // not newer than the last one of its process
	Stranger        // from an address that is not on the list of nodes
	Nonsense        // valid frame, but the payload has impossible figures
	Faults          // the number of faults
)

var faultNames = [...]string{"none", "short", "oversized", "foreign", "version", "bent", "replayed", "stranger", "nonsense"}

// String returns the name of a fault.
func (f Fault) String() string { return faultNames[f] }

// Flags in the third byte.
const (
	flagLate = 1 << iota
	flagLeaving
	knownFlags = flagLate | flagLeaving
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Write encodes a datagram. A payload that exceeds the maximum size is cut off.
func Write(header Head, payload []byte) []byte {
	payload = payload[:min(len(payload), MostPayload)]
	p := make([]byte, 0, headerSize+len(payload)+checksumSize)
	flags := byte(0)
	if header.Late {
		flags |= flagLate
	}
	if header.Leaving {
		flags |= flagLeaving
	}
	p = append(p, magic, version, flags)
	p = binary.LittleEndian.AppendUint32(p, header.Name)
	p = binary.LittleEndian.AppendUint64(p, header.Process)
	p = binary.LittleEndian.AppendUint32(p, header.Seq)
	p = binary.LittleEndian.AppendUint64(p, header.Echo)
	p = binary.LittleEndian.AppendUint32(p, header.EchoSeq)
	p = binary.LittleEndian.AppendUint16(p, uint16(len(payload)))
	p = append(p, payload...)
	return binary.LittleEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

// Read decodes a datagram. The payload is a part of p.
func Read(p []byte) (header Head, payload []byte, fault Fault) {
	switch {
	case len(p) > Most:
		return header, nil, Oversized
	case len(p) == 0:
		return header, nil, Short
	case p[0] != magic:
		return header, nil, Foreign
	case len(p) < 2:
		return header, nil, Short
	case p[1] != version:
		return header, nil, Version
	case len(p) < headerSize+checksumSize:
		return header, nil, Short
	}
	body, checksum := p[:len(p)-checksumSize], binary.LittleEndian.Uint32(p[len(p)-checksumSize:])
	length := int(binary.LittleEndian.Uint16(p[headerSize-2:]))
	if len(body) < headerSize+length {
		return header, nil, Short
	}
	if len(body) > headerSize+length || crc32.Checksum(body, castagnoli) != checksum || p[2]&^knownFlags != 0 {
		return header, nil, Bent
	}
	header = Head{
		Name:    binary.LittleEndian.Uint32(p[3:]),
		Process: binary.LittleEndian.Uint64(p[7:]),
		Seq:     binary.LittleEndian.Uint32(p[15:]),
		Echo:    binary.LittleEndian.Uint64(p[19:]),
		EchoSeq: binary.LittleEndian.Uint32(p[27:]),
		Late:    p[2]&flagLate != 0,
		Leaving: p[2]&flagLeaving != 0,
	}
	return header, body[headerSize:], None
}
