package lines

import (
	"strings"
	"testing"
)

// A valid line reaches the host unchanged except for the value of d. Lines that a host could not use must be rejected.
func TestParseOpen(t *testing.T) {
	o, err := ParseOpen([]byte("OPEN i k c=chat,d=2000,g=grp,r=1,h=2.5,x=y,at=s-1\r\n"))
	if err != nil || o.Key != "k" || o.ServiceType != "chat" || o.ConnectTimeout != 2_000_000 || o.Group != "grp" || !o.Returning ||
		o.LoadHint != 2500 || o.CurrentHost != "s-1" {
		t.Fatal(o, err)
	}
	if got := string(o.HostLine(77_999)); got != "OPEN i k c=chat,d=77,g=grp,r=1,h=2.5,x=y,at=s-1\r\n" {
		t.Fatal(got)
	}
	for _, bad := range []string{"", "OPEN", "OPEN i k", "OPEN i k c=chat", "OPEN i k d=1", "OPEN i k c=chat,d=",
		"OPEN i k c=chat,d=-1", "OPEN i k c=chat,d=NaN", "OPEN i k c=chat,d=1 x", "open i k c=chat,d=1",
		"OPEN i k c=chat,d=1,zz", "OPEN  k c=chat,d=1", "OPEN i k c=chat,d=1,d=2", "OPEN i k c=chat,d=1,g=",
		"OPEN i\x01 k c=chat,d=1", "OPEN i k c=chat,d=1,x=\xff", "OPEN i k c=chat,d=1,h=1e9", "OPEN ../i k c=chat,d=1",
		"OPEN i " + strings.Repeat("k", maxNameBytes+1) + " c=chat,d=1", "OPEN i k c=chat,d=1,x=1,x=1", "OPEN i k c=chat,d=1,g=" + strings.Repeat("g", MaxLineBytes)} {
		if o, err := ParseOpen([]byte(bad + "\r\n")); err == nil {
			t.Errorf("%.40q: %v", bad, o)
		}
	}
}

// An invalid line, such as UP without a value or with two, must not count as an answer of the host.
func TestParseAnswer(t *testing.T) {
	for line, want := range map[string]AnswerKind{"UP 1": Up, "UP": Other, "UP 1 2": Other, "BYE": Bye, "MOVE": Move, "ERR": Err,
		"BUSY": Busy, "BUSY 5": Busy, "PONG": Pong, "LOAD 5.5": Load, "LOAD x": Other, "LOAD NaN": Other, "": Other,
		"NO": Other, "BYE 1": Other, "up 1": Other} {
		if got, _ := ParseAnswer([]byte(line + "\r\n")); got != want {
			t.Errorf("%q: %v", line, got)
		}
	}
	if _, load := ParseAnswer([]byte("LOAD 5.5\r\n")); load != 5.5 {
		t.Error(load)
	}
}

// Lines that wrap around the end of the ring have to come out whole, and an empty ring must hold no memory.
func TestRingWrapsAround(t *testing.T) {
	var r Ring
	long := strings.Repeat("z", 3000) + "\r\n"
	for i := range 20 {
		if !r.Put([]byte(long)) || !r.Put([]byte("x\r\n")) {
			t.Fatal(i)
		}
		if got := string(r.PeekLine()); got != long {
			t.Fatal(i, len(got))
		}
		r.Discard(len(long))
		if got := string(r.PeekLine()); got != "x\r\n" {
			t.Fatal(i, got)
		}
		r.Discard(3)
	}
	if r.block != nil {
		t.Fatal("an empty ring keeps its memory")
	}
	if r.Put(make([]byte, RingSize+1)) || !r.Put(make([]byte, RingSize)) || r.Free() != 0 || r.PeekLine() != nil {
		t.Fatal("a ring must take exactly its size")
	}
}
