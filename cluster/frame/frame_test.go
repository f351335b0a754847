package frame

import (
	"bytes"
	"math/rand"
	"testing"
)

// TestReadNamesEachFault guards against faulty datagrams being used or counted as another fault: each kind of fault is
// recognized, no change of a single byte goes unnoticed, and no input panics.
func TestReadNamesEachFault(t *testing.T) {
	h := Head{Name: 7, Process: 1 << 60, Seq: 9, Echo: 3, EchoSeq: 4, Late: true}
	good := Write(h, []byte("what it tells"))
	got, payload, fault := Read(good)
	if got != h || string(payload) != "what it tells" || fault != None {
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
	}{{nil, Short}, {good[:1], Short}, {good[:20], Short}, {good[:len(good)-1], Short}, {append(bytes.Clone(good), 0), Bent},
		{make([]byte, Most+1), Oversized}, {[]byte("GET / HTTP/1.1\r\n"), Foreign}, {change(1, version+1), Version},
		{change(2, 0x80), Bent}, {change(len(good)-6, 'X'), Bent}, {Write(h, make([]byte, 2*Most)), None}} {
		if _, _, fault := Read(c.p); fault != c.want {
			t.Errorf("%d bytes %.20x: fault %v, want %v", len(c.p), c.p, fault, c.want)
		}
	}
	rng := rand.New(rand.NewSource(1))
	for range 20000 { // a changed byte, often truncated as well
		p := bytes.Clone(good)
		p[rng.Intn(len(p))] ^= byte(1 + rng.Intn(255))
		if _, _, fault := Read(p[:rng.Intn(len(p)+1)]); fault == None {
			t.Fatalf("a changed datagram was taken: %x", p)
		}
	}
}
