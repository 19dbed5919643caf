// Package report defines the steering report: what each instance contributes, how contributions merge, and the figures that
// operators and customers read.
package report

import (
	"math"
	"math/bits"
	"time"
)

// Buckets of a histogram. The bounds of a bucket differ by the factor growth, and a quantile is the geometric mean of the bounds
// of its bucket, so its relative error is at most sqrt(growth)-1, which is 4.9%.
const (
	Buckets    = 144                    // number of buckets of a histogram; 8 bytes each while recording
	MinLatency = 100 * time.Microsecond // shorter latencies count as this
	growth     = 1.10
)

// MaxError is the bound on the relative error of a quantile between MinLatency and MaxLatency.
const MaxError = 0.05

var (
	// MaxLatency is the upper bound of the last bucket, about 91 s. Longer latencies count as this.
	MaxLatency = time.Duration(float64(MinLatency) * math.Pow(growth, Buckets))
	bounds     = func() (b [Buckets]time.Duration) {
		for i := range b {
			b[i] = time.Duration(float64(MinLatency) * math.Pow(growth, float64(i+1)))
		}
		return b
	}()
	// searchStart holds, for each number of binary digits of a latency, the first bucket that can hold it.
	searchStart = func() (o [65]uint8) {
		for n := 1; n < len(o); n++ {
			lowest := math.Ldexp(1, n-1)
			for i := 0; i < Buckets-1 && lowest > float64(bounds[i]); i++ {
				o[n] = uint8(i + 1)
			}
		}
		return o
	}()
)

// Bucket returns the index of the bucket that counts a latency.
func Bucket(d time.Duration) int {
	if d <= MinLatency {
		return 0
	}
	i := int(searchStart[bits.Len64(uint64(d))])
	for i < Buckets-1 && d > bounds[i] {
		i++
	}
	return i
}

// Histogram counts latencies in logarithmic buckets. The zero value is empty. Counts holds the buckets from First on, with no
// zero at either end, so that equal histograms have equal fields.
type Histogram struct {
	First  int
	Counts []uint64
}

// NewHistogram returns a histogram with the counts of all buckets, which it copies.
func NewHistogram(counts []uint64) Histogram {
	first, end := 0, len(counts)
	for first < end && counts[first] == 0 {
		first++
	}
	for end > first && counts[end-1] == 0 {
		end--
	}
	if first == end {
		return Histogram{}
	}
	return Histogram{First: first, Counts: append([]uint64(nil), counts[first:end]...)}
}

// Valid reports whether Counts lies within the Buckets buckets.
func (h Histogram) Valid() bool {
	return h.First >= 0 && h.First <= Buckets && len(h.Counts) <= Buckets-h.First
}

func (h Histogram) addTo(counts *[Buckets]uint64, factor uint64) {
	for i, n := range h.Counts {
		counts[h.First+i] += factor * n
	}
}

// Merge returns the sum of both histograms, which must be valid.
func (h Histogram) Merge(o Histogram) Histogram {
	var all [Buckets]uint64
	h.addTo(&all, 1)
	o.addTo(&all, 1)
	return NewHistogram(all[:])
}

// Since returns the counts added since an earlier state of the same histogram. Both must be valid.
func (h Histogram) Since(earlier Histogram) Histogram {
	var all [Buckets]uint64
	h.addTo(&all, 1)
	earlier.addTo(&all, ^uint64(0))
	return NewHistogram(all[:])
}

// Count returns the number of latencies.
func (h Histogram) Count() uint64 {
	var n uint64
	for _, c := range h.Counts {
		n += c
	}
	return n
}

// Quantile returns the latency that a share q of the latencies does not exceed, within MaxError; 0 when empty.
func (h Histogram) Quantile(q float64) time.Duration {
	rank := uint64(math.Ceil(q * float64(h.Count())))
	var seen uint64
	for i, c := range h.Counts {
		seen += c
		if c > 0 && seen >= max(rank, 1) {
			return time.Duration(float64(bounds[h.First+i]) / math.Sqrt(growth))
		}
	}
	return 0
}
