package fleet

import (
	"encoding/binary"

	"coursewinch/cluster/frame"
)

// falseReport returns a datagram with the same sender and a false load report: the load of nearly a thousand cores, and
// saturation, for every host that it names. It changes the payload from its end in steps of one host entry, whatever
// kind of message it is. Datagrams that cannot be read are returned unchanged.
func (w *World) falseReport(datagram []byte) []byte {
	header, payload, fault := frame.Decode(datagram)
	if fault != frame.NoFault || len(payload) < 5 {
		return datagram
	}
	forged := append([]byte(nil), payload...)
	const (
		entryBytes = 9     // hash (4), load (2), capacity (2) and flags (1) of a host
		falseLoad  = 62000 // on the logarithmic scale of reports, just below the largest load that nodes accept
		saturated  = 1     // flag
	)
	changed := 0
	for offset := len(forged) - entryBytes; offset >= 7 && changed < 1000; offset -= entryBytes {
		binary.LittleEndian.PutUint16(forged[offset+4:], falseLoad)
		forged[offset+8] = saturated
		changed++
	}
	return frame.Encode(header, forged)
}
