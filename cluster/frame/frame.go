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

	MaxDatagramSize = 1200                                        // bytes; fits any path without fragmentation
	MaxPayloadSize  = MaxDatagramSize - headerSize - checksumSize // maximum size of a payload in bytes
)

// Header is the header of a datagram. It carries no time of any clock.
type Header struct {
	NameHash    uint32 // short hash of the sender's name
	Process     uint64 // random identifier that each process draws when it starts, so that two of one name differ
	Seq         uint32 // number of the datagram, counted by the process for each receiver
	EchoProcess uint64 // the receiver's process whose datagram the sender received last; 0 for none
	EchoSeq     uint32 // the last Seq of that process
	Late        bool   // the sender's loop is late, so it takes no node for lost
	Leaving     bool   // the sender is about to end
}

// Fault is why a datagram cannot be used.
type Fault uint8

// Faults of datagrams.
const (
	NoFault        Fault = iota
	Truncated            // truncated or empty
	Oversized            // larger than the maximum
	BadMagic             // does not begin with the magic byte
	WrongVersion         // of another version
	Corrupted            // wrong checksum, length or flags
	Replayed             // not newer than the last one of its process
	UnknownSender        // from an address that is not on the list of nodes
	InvalidPayload       // valid frame, but the payload has impossible figures
	FaultCount           // the number of faults
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

// Encode encodes a datagram. A payload that exceeds the maximum size is cut off.
func Encode(header Header, payload []byte) []byte {
	payload = payload[:min(len(payload), MaxPayloadSize)]
	p := make([]byte, 0, headerSize+len(payload)+checksumSize)
	flags := byte(0)
	if header.Late {
		flags |= flagLate
	}
	if header.Leaving {
		flags |= flagLeaving
	}
	p = append(p, magic, version, flags)
	p = binary.LittleEndian.AppendUint32(p, header.NameHash)
	p = binary.LittleEndian.AppendUint64(p, header.Process)
	p = binary.LittleEndian.AppendUint32(p, header.Seq)
	p = binary.LittleEndian.AppendUint64(p, header.EchoProcess)
	p = binary.LittleEndian.AppendUint32(p, header.EchoSeq)
	p = binary.LittleEndian.AppendUint16(p, uint16(len(payload)))
	p = append(p, payload...)
	return binary.LittleEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

// Decode decodes a datagram. The payload is a part of p.
func Decode(p []byte) (header Header, payload []byte, fault Fault) {
	switch {
	case len(p) > MaxDatagramSize:
		return header, nil, Oversized
	case len(p) == 0:
		return header, nil, Truncated
	case p[0] != magic:
		return header, nil, BadMagic
	case len(p) < 2:
		return header, nil, Truncated
	case p[1] != version:
		return header, nil, WrongVersion
	case len(p) < headerSize+checksumSize:
		return header, nil, Truncated
	}
	body, checksum := p[:len(p)-checksumSize], binary.LittleEndian.Uint32(p[len(p)-checksumSize:])
	length := int(binary.LittleEndian.Uint16(p[headerSize-2:]))
	if len(body) < headerSize+length {
		return header, nil, Truncated
	}
	if len(body) > headerSize+length || crc32.Checksum(body, castagnoli) != checksum || p[2]&^knownFlags != 0 {
		return header, nil, Corrupted
	}
	header = Header{
		NameHash:    binary.LittleEndian.Uint32(p[3:]),
		Process:     binary.LittleEndian.Uint64(p[7:]),
		Seq:         binary.LittleEndian.Uint32(p[15:]),
		EchoProcess: binary.LittleEndian.Uint64(p[19:]),
		EchoSeq:     binary.LittleEndian.Uint32(p[27:]),
		Late:        p[2]&flagLate != 0,
		Leaving:     p[2]&flagLeaving != 0,
	}
	return header, body[headerSize:], NoFault
}
