package frame

import (
	"bytes"
	"math/rand"
	"testing"
)

// TestDecodeNamesEachFault guards against faulty datagrams being used or counted as another fault: each kind of fault is
// recognized, no change of a single byte goes unnoticed, and no input panics.
func TestDecodeNamesEachFault(t *testing.T) {
	h := Header{NameHash: 7, Process: 1 << 60, Seq: 9, EchoProcess: 3, EchoSeq: 4, Late: true}
	good := Encode(h, []byte("what it tells"))
	got, payload, fault := Decode(good)
	if got != h || string(payload) != "what it tells" || fault != NoFault {
		t.Fatalf("%+v %q %v", got, payload, fault)
	}
	change := func(at int, to byte) []byte {
		p := bytes.Clone(good)
		p[at] = to
		return p
	}
	for _, c := range []struct {
		p    []byte
		want Fault
	}{{nil, Truncated}, {good[:1], Truncated}, {good[:20], Truncated}, {good[:len(good)-1], Truncated},
		{append(bytes.Clone(good), 0), Corrupted},
		{make([]byte, MaxDatagramSize+1), Oversized}, {[]byte("GET / HTTP/1.1\r\n"), BadMagic}, {change(1, version+1), WrongVersion},
		{change(2, 0x80), Corrupted}, {change(len(good)-6, 'X'), Corrupted}, {Encode(h, make([]byte, 2*MaxDatagramSize)), NoFault}} {
		if _, _, fault := Decode(c.p); fault != c.want {
			t.Errorf("%d bytes %.20x: fault %v, want %v", len(c.p), c.p, fault, c.want)
		}
	}
	rng := rand.New(rand.NewSource(1))
	for range 20000 { // a changed byte, often truncated as well
		p := bytes.Clone(good)
		p[rng.Intn(len(p))] ^= byte(1 + rng.Intn(255))
		if _, _, fault := Decode(p[:rng.Intn(len(p)+1)]); fault == NoFault {
			t.Fatalf("a changed datagram was taken: %x", p)
		}
	}
}
