package capture

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// disk is a file that can be made to fail.
type disk struct {
	text bytes.Buffer
	room int // bytes; then it is full
	hold chan struct{}
}

func (d *disk) Write(p []byte) (int, error) {
	if d.hold != nil {
		<-d.hold
	}
	if d.text.Len()+len(p) > d.room {
		return 0, errors.New("no space left on device")
	}
	return d.text.Write(p)
}

func (d *disk) Close() error { return nil }

const begun = 1_000_000

func fill(w *Writer, flows int) {
	for i := range flows {
		no := uint64(i + 1)
		w.Flow(Flow{No: no, At: begun + int64(i)*1000, Type: "t", Key: "k", Group: "g", Wait: 5, Answer: Established, Took: 7,
			Host: "h-1", Connects: 1})
		w.Load(Load{No: no, At: begun + int64(i)*1000 + 10, Load: 500})
		w.End(End{No: no, At: begun + int64(i)*1000 + 900, How: Gone, Up: 3, Down: 4})
	}
}

func TestThereAndBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n.capture")
	w, err := Create(path, 1<<20, Start{"n-1", 2, begun})
	if err != nil {
		t.Fatal(err)
	}
	fill(w, 50)
	w.Close()
	text, _ := os.ReadFile(path)
	c, err := Read(bytes.NewReader(text))
	if err != nil || c.Node != "n-1" || c.Zone != 2 || len(c.Flows) != 50 || len(c.Ends) != 50 || c.Torn != 0 {
		t.Fatalf("%v, %+v", err, c)
	}
	if f := c.Flows[1]; f.At != 1000 || f.Host != "h-1" || f.Group != "g" || c.Ends[2].Up != 3 || c.Loads[2][0].Load != 500 {
		t.Errorf("%+v %+v", f, c.Ends[2])
	}
	// Cut off at every byte, and with any byte changed, all other records are read.
	first := strings.IndexByte(string(text), '\n') + 1
	for cut := first; cut < len(text); cut += 7 {
		c, err := Read(bytes.NewReader(text[:cut]))
		if err != nil || c.Torn > 1 {
			t.Fatalf("cut at %d: %v, %d torn", cut, err, c.Torn)
		}
		bent := append([]byte(nil), text...)
		bent[cut] ^= 0x11
		if c, err := Read(bytes.NewReader(bent)); err != nil || c.Torn < 1 || c.Torn > 2 {
			t.Fatalf("bent at %d: %v, %d torn", cut, err, c.Torn)
		}
	}
	if _, err := Read(bytes.NewReader(text[first:])); err == nil {
		t.Error("one without its first record was taken")
	}
}

func TestFullDiskStops(t *testing.T) {
	d := &disk{room: 300}
	w := New(d, 1<<20, Start{"n", 0, begun})
	fill(w, 20)
	w.Close()
	if w.Dropped.Load() == 0 || !strings.Contains(w.Why(), "no space") {
		t.Errorf("dropped %d, why %q", w.Dropped.Load(), w.Why())
	}
	if c, err := Read(&d.text); err != nil || c.Torn > 0 {
		t.Errorf("what was written can't be read: %v", err)
	}
}

func TestBound(t *testing.T) {
	d := &disk{room: 1 << 20}
	w := New(d, 500, Start{"n", 0, begun})
	fill(w, 100)
	w.Close()
	if d.text.Len() > 500 || w.Why() != "full" {
		t.Errorf("%d bytes, %q", d.text.Len(), w.Why())
	}
}

// TestSlowDisk guards flows: with a disk that takes nothing at all, no call waits.
func TestSlowDisk(t *testing.T) {
	d := &disk{room: 1 << 20, hold: make(chan struct{})}
	w := New(d, 1<<20, Start{"n", 0, begun})
	fill(w, 10*waiting) // would never return if one of them waited
	if w.Dropped.Load() < 8*waiting {
		t.Errorf("%d dropped", w.Dropped.Load())
	}
	close(d.hold)
	w.Close()
}
