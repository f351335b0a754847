package balance

import "math/bits"

const histBins = 16

// Hist is a histogram of durations in microseconds. Bin 0 ends at 1 ms, each further bin at twice the last.
type Hist struct {
	bins  [histBins]uint32
	total uint32
}

// Add counts one duration. Once most samples are held, all bins are halved first, so that old ones fade.
func (h *Hist) Add(us int64, most uint32) {
	if h.total >= most {
		h.total = 0
		for i := range h.bins {
			h.bins[i] /= 2
			h.total += h.bins[i]
		}
	}
	i := bits.Len64(uint64(max(us, 0)) / 1000)
	h.bins[min(i, histBins-1)]++
	h.total++
}

// Total is the number of samples held.
func (h *Hist) Total() uint32 { return h.total }

// Reset forgets all samples.
func (h *Hist) Reset() { *h = Hist{} }

// Quantile is the duration that share q of the samples stays under, evenly spread within a bin; 0 when empty.
func (h *Hist) Quantile(q float64) int64 {
	want := q * float64(h.total)
	low := int64(0)
	for i, n := range h.bins {
		high := int64(1000) << i
		if n > 0 && want <= float64(n) {
			return low + int64(float64(high-low)*want/float64(n))
		}
		want -= float64(n)
		low = high
	}
	return 0
}

// Mean is of the values added; old ones fade by halving.
type Mean struct{ sum, n float64 }

func (m *Mean) Add(v, most float64) {
	if m.n >= most {
		m.sum, m.n = m.sum/2, m.n/2
	}
	m.sum += v
	m.n++
}

func (m *Mean) Value() float64 { return m.sum / m.n }

const second = 1_000_000
