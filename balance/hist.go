package balance

import "math/bits"

const histBins = 16

// Hist is a histogram of durations in microseconds. Bin 0 ends at 1 ms and each further bin at twice the end of the bin
// before.
type Hist struct {
	bins  [histBins]uint32
	total uint32
}

// Add counts one duration. Once the histogram holds limit samples, all bins are halved first, so that old samples fade.
func (h *Hist) Add(us int64, limit uint32) {
	if h.total >= limit {
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

// Reset removes all samples.
func (h *Hist) Reset() { *h = Hist{} }

// Quantile is the duration in microseconds below which the share q of the samples lies, taking samples as evenly spread
// within a bin. It is 0 when the histogram is empty.
func (h *Hist) Quantile(q float64) int64 {
	remaining := q * float64(h.total)
	low := int64(0)
	for i, n := range h.bins {
		high := int64(1000) << i
		if n > 0 && remaining <= float64(n) {
			return low + int64(float64(high-low)*remaining/float64(n))
		}
		remaining -= float64(n)
		low = high
	}
	return 0
}

// restore replaces the samples by those of bins, unless these are more than limit.
func (h *Hist) restore(bins [histBins]uint32, limit uint32) {
	total := uint64(0)
	for _, n := range bins {
		total += uint64(n)
	}
	if total <= uint64(limit) {
		h.bins, h.total = bins, uint32(total)
	}
}

// Mean is the mean of the values added. Old values fade by halving.
type Mean struct{ sum, n float64 }

// Add counts one value. Once the mean holds limit values, they are halved in weight first.
func (m *Mean) Add(v, limit float64) {
	if m.n >= limit {
		m.sum, m.n = m.sum/2, m.n/2
	}
	m.sum += v
	m.n++
}

// Value is the mean; not a number when no value was added.
func (m *Mean) Value() float64 { return m.sum / m.n }
