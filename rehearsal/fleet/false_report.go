package fleet

import (
	"encoding/binary"

	"coursewinch/cluster/frame"
)

// falseReport returns a datagram with the same sender and a false load report: the largest figures, and saturation, for
// every host that it names. Datagrams that cannot be read are returned unchanged.
func (w *World) falseReport(datagram []byte) []byte {
	header, payload, fault := frame.Decode(datagram)
	if fault != frame.NoFault || len(payload) < 5 {
		return datagram
	}
	forged := append([]byte(nil), payload...)
	const entryBytes, largestFigure = 9, 62000
	changed := 0
	for offset := len(forged) - entryBytes; offset >= 7 && changed < 1000; offset -= entryBytes {
		binary.LittleEndian.PutUint16(forged[offset+4:], largestFigure)
		forged[offset+8] = 1
		changed++
	}
	return frame.Encode(header, forged)
}
