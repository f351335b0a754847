package capture

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fakeFile is a file on a disk that can be full or block.
type fakeFile struct {
	text     bytes.Buffer
	capacity int           // bytes that can be written
	blocked  chan struct{} // if not nil, writes wait until it is closed
}

func (f *fakeFile) Write(p []byte) (int, error) {
	if f.blocked != nil {
		<-f.blocked
	}
	if f.text.Len()+len(p) > f.capacity {
		return 0, errors.New("no space left on device")
	}
	return f.text.Write(p)
}

func (f *fakeFile) Close() error { return nil }

const startedAt = 1_000_000 // microseconds since 1970

// writeFlows writes the three records of each of a number of flows.
func writeFlows(w *Writer, flows int) {
	for i := range flows {
		no := uint64(i + 1)
		w.Flow(Flow{Number: no, At: startedAt + int64(i)*1000, Type: "t", Key: "k", Group: "g", ConnectTimeout: 5,
			Answer: Established, AnswerTime: 7,
			Host: "h-1", Connects: 1})
		w.Load(Load{Number: no, At: startedAt + int64(i)*1000 + 10, Load: 500})
		w.End(End{Number: no, At: startedAt + int64(i)*1000 + 900, Outcome: ClientClosed, LinesUp: 3, LinesDown: 4})
	}
}

// A capture has to be read as it was written, and a truncated or damaged file must lose no more than the lines concerned.
func TestWriteAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n.capture")
	w, err := Create(path, 1<<20, Start{"n-1", 2, startedAt})
	if err != nil {
		t.Fatal(err)
	}
	writeFlows(w, 50)
	w.Close()
	text, _ := os.ReadFile(path)
	c, err := Read(bytes.NewReader(text))
	if err != nil || c.Node != "n-1" || c.Zone != 2 || len(c.Flows) != 50 || len(c.Ends) != 50 || c.DamagedLines != 0 {
		t.Fatalf("%v, %+v", err, c)
	}
	if f := c.Flows[1]; f.At != 1000 || f.Host != "h-1" || f.Group != "g" || c.Ends[2].LinesUp != 3 || c.Loads[2][0].Load != 500 {
		t.Errorf("%+v %+v", f, c.Ends[2])
	}
	// A file that is truncated, or has one byte changed, must lose only the records that this touches.
	first := strings.IndexByte(string(text), '\n') + 1
	for cut := first; cut < len(text); cut += 7 {
		c, err := Read(bytes.NewReader(text[:cut]))
		if err != nil || c.DamagedLines > 1 {
			t.Fatalf("truncated at %d: %v, %d damaged lines", cut, err, c.DamagedLines)
		}
		corrupted := append([]byte(nil), text...)
		corrupted[cut] ^= 0x11
		if c, err := Read(bytes.NewReader(corrupted)); err != nil || c.DamagedLines < 1 || c.DamagedLines > 2 {
			t.Fatalf("corrupted at %d: %v, %d damaged lines", cut, err, c.DamagedLines)
		}
	}
	if _, err := Read(bytes.NewReader(text[first:])); err == nil {
		t.Error("a capture without its first record was accepted")
	}
}

// On a full disk, writing has to stop with its reason and a count of dropped records, and what was written has to stay
// readable.
func TestFullDiskStopsWriting(t *testing.T) {
	f := &fakeFile{capacity: 300}
	w := New(f, 1<<20, Start{"n", 0, startedAt})
	writeFlows(w, 20)
	w.Close()
	if w.Dropped.Load() == 0 || !strings.Contains(w.StopReason(), "no space") {
		t.Errorf("dropped %d, why %q", w.Dropped.Load(), w.StopReason())
	}
	if c, err := Read(&f.text); err != nil || c.DamagedLines > 0 {
		t.Errorf("the records before the disk was full cannot be read: %v", err)
	}
}

// A capture must not grow beyond its size limit.
func TestSizeLimitStopsWriting(t *testing.T) {
	f := &fakeFile{capacity: 1 << 20}
	w := New(f, 500, Start{"n", 0, startedAt})
	writeFlows(w, 100)
	w.Close()
	if f.text.Len() > 500 || w.StopReason() != "full" {
		t.Errorf("%d bytes, %q", f.text.Len(), w.StopReason())
	}
}

// A disk that blocks must not make any caller wait: records are dropped instead.
func TestSlowDiskDropsRecords(t *testing.T) {
	f := &fakeFile{capacity: 1 << 20, blocked: make(chan struct{})}
	w := New(f, 1<<20, Start{"n", 0, startedAt})
	writeFlows(w, 10*queueCapacity) // would never return if a call waited for the disk
	if w.Dropped.Load() < 8*queueCapacity {
		t.Errorf("%d dropped", w.Dropped.Load())
	}
	close(f.blocked)
	w.Close()
}
