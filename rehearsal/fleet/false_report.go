package fleet

import (
	"encoding/binary"

	"coursewinch/cluster/frame"
)

// falseReport keeps who sent a datagram and makes nonsense of what it tells: the largest figures that can be, for every host that
// it names, and each of them full.
func (w *World) falseReport(datagram []byte) []byte {
	header, payload, fault := frame.Read(datagram)
	if fault != frame.None || len(payload) < 5 {
		return datagram
	}
	out := append([]byte(nil), payload...)
	const entryBytes, largestFigure = 9, 62000
	changed := 0
	for offset := len(out) - entryBytes; offset >= 7 && changed < 1000; offset -= entryBytes {
		binary.LittleEndian.PutUint16(out[offset+4:], largestFigure)
		out[offset+8] = 1
		changed++
	}
	return frame.Write(header, out)
}
