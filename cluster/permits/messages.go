package permits

import (
	"encoding/binary"
	"slices"
)

// Datagram kinds.
const (
	requestKind = 8
	replyKind   = 9
)

// Datagram layout: a header and entries, one per key; sizes in bytes.
const (
	headerSize       = 1 + 4 + 8 + 8 // kind, round, requesting process, its predecessor
	requestEntrySize = 8 + 2 + 2     // key, permits in use, permits wanted
	replyEntrySize   = 8 + 2         // key, permits allowed
	keysPerRequest   = 64
)

// sendRequests sends the requests for keys that have the same likely owner, in as few datagrams as possible.
func (p *Permits) sendRequests(to int, keys []uint64, send func(to int, payload []byte)) {
	for chunk := range slices.Chunk(keys, keysPerRequest) {
		p.round++
		payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, p.round)
		payload = binary.LittleEndian.AppendUint64(payload, p.process)
		payload = binary.LittleEndian.AppendUint64(payload, p.predecessor)
		for _, key := range chunk {
			u := p.usages[key]
			u.round = p.round
			payload = binary.LittleEndian.AppendUint64(payload, key)
			payload = binary.LittleEndian.AppendUint16(payload, uint16(min(u.inUse, maxCount)))
			payload = binary.LittleEndian.AppendUint16(payload, uint16(min(u.wanted(), maxCount)))
		}
		p.RequestsSent++
		send(to, payload)
	}
}

// HandleRequest handles a request of a process of another node. The reply is sent back by the answer function. It
// returns false if the payload is not a request.
func (p *Permits) HandleRequest(process uint64, payload []byte, answer func(payload []byte)) bool {
	if len(payload) < headerSize+requestEntrySize || payload[0] != requestKind || (len(payload)-headerSize)%requestEntrySize != 0 {
		return false
	}
	round := binary.LittleEndian.Uint32(payload[1:])
	requester := binary.LittleEndian.Uint64(payload[5:])
	predecessor := binary.LittleEndian.Uint64(payload[13:])
	if requester != process {
		p.Discarded++ // no process requests for another one
		return true
	}
	reply := append([]byte{replyKind}, payload[1:headerSize]...)
	for rest := payload[headerSize:]; len(rest) > 0; rest = rest[requestEntrySize:] {
		key := binary.LittleEndian.Uint64(rest)
		inUse := int(binary.LittleEndian.Uint16(rest[8:]))
		wanted := int(binary.LittleEndian.Uint16(rest[10:]))
		since, _, ok := p.owner.OwnedHere(key)
		if !ok {
			p.Discarded++
			continue
		}
		allowed, ok := p.allocate(key, since, process, predecessor, round, inUse, wanted)
		if ok {
			reply = binary.LittleEndian.AppendUint64(reply, key)
			reply = binary.LittleEndian.AppendUint16(reply, uint16(allowed))
		}
	}
	if len(reply) > headerSize {
		answer(reply)
	}
	return true
}

// HandleReply handles a reply of the node with the given index and returns the decisions for waiters. Entries that do
// not match the latest request for their key are counted and dropped. It returns ok false if the payload is not a
// reply.
func (p *Permits) HandleReply(from int, payload []byte) (decided []Decision, ok bool) {
	if len(payload) < headerSize+replyEntrySize || payload[0] != replyKind || (len(payload)-headerSize)%replyEntrySize != 0 {
		return nil, false
	}
	round := binary.LittleEndian.Uint32(payload[1:])
	process := binary.LittleEndian.Uint64(payload[5:])
	for rest := payload[headerSize:]; len(rest) > 0; rest = rest[replyEntrySize:] {
		key := binary.LittleEndian.Uint64(rest)
		allowed := int(binary.LittleEndian.Uint16(rest[8:]))
		u := p.usages[key]
		if u == nil || u.round != round || u.attempts == 0 || process != p.process || u.askedNode != from || allowed > p.limit.Max {
			p.Discarded++
			continue
		}
		p.applyReply(u, allowed)
		if p.now < u.allowedUntil {
			p.settleWaiters(u)
		}
	}
	decided, p.decided = p.decided, nil
	return decided, true
}
