package load

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"azurebridge/transport/standin"
)

const (
	bucketLength = 100 * time.Millisecond
	maxBuckets   = 1 << 17
	slowAfter    = time.Second // a successful request counts as slow above this latency
)

// bucket holds the counts of one service in one interval of bucketLength. An arrival is counted in the bucket of its intended
// start, everything else in the bucket in which the request ended.
type bucket struct {
	arrived, slow uint64
	results       [resultFailed + 1]uint64
	latency       *hdrhistogram.Histogram // as in counters; nil before the first successful request
}

type bucketKey struct {
	index   int64 // of the interval, from the beginning of the run
	service string
}

// timeline counts the results by time and service. Adding to a nil timeline does nothing.
type timeline struct {
	mu      sync.Mutex
	begin   time.Time
	buckets map[bucketKey]*bucket
}

func newTimeline(begin time.Time) *timeline {
	return &timeline{begin: begin, buckets: make(map[bucketKey]*bucket)}
}

func (t *timeline) add(service string, intended time.Time, took time.Duration, res result) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.bucketAt(intended, service); b != nil {
		b.arrived++
	}
	b := t.bucketAt(intended.Add(took), service)
	if b == nil {
		return
	}
	b.results[res]++
	if res != resultOK {
		return
	}
	if took > slowAfter {
		b.slow++
	}
	if b.latency == nil {
		b.latency = newCounters().latency
	}
	_ = b.latency.RecordValue(min(max(took.Microseconds(), lowestLatency), highestLatency)) // cannot fail: the value is within the range
}

// bucketAt returns the bucket of a time, or nil when a new one would exceed maxBuckets. The caller must hold t.mu.
func (t *timeline) bucketAt(at time.Time, service string) *bucket {
	key := bucketKey{int64(at.Sub(t.begin) / bucketLength), service}
	b := t.buckets[key]
	if b == nil && len(t.buckets) < maxBuckets {
		b = &bucket{}
		t.buckets[key] = b
	}
	return b
}

// csv returns one line for each bucket, ordered by time and service. unix_ms is the start of the bucket.
func (t *timeline) csv() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]bucketKey, 0, len(t.buckets))
	for k := range t.buckets {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		return a.index < b.index || (a.index == b.index && a.service < b.service)
	})
	var out strings.Builder
	out.WriteString("unix_ms,service,arrived,ok,not_run,unknown,failed,slow,p99_ms\n")
	for _, k := range keys {
		b, p99 := t.buckets[k], 0.0
		if b.latency != nil {
			p99 = float64(b.latency.ValueAtQuantile(99)) / 1000 // recorded in microseconds
		}
		at := t.begin.Add(time.Duration(k.index) * bucketLength).UnixMilli()
		fmt.Fprintf(&out, "%d,%s,%d,%d,%d,%d,%d,%d,%.1f\n", at, k.service, b.arrived,
			b.results[resultOK], b.results[resultNotRun], b.results[resultUnknown], b.results[resultFailed], b.slow, p99)
	}
	return []byte(out.String())
}

// Timeline returns the results in buckets of 100 ms as CSV, or nil if the settings do not enable the timeline.
func (r *Runner) Timeline() []byte {
	if r.timeline == nil {
		return nil
	}
	return r.timeline.csv()
}

// setCalls sets the number of store calls during the run, and of the requests that backend servers rejected in it.
func (r *Report) setCalls(before, after *standin.Report) {
	r.StoreReads = after.Calls.Reads - before.Calls.Reads
	r.StoreWrites = after.Calls.Writes - before.Calls.Writes
	shed := func(s *standin.Report) (n uint64) {
		for _, b := range s.Backends {
			n += b.Shed
		}
		return n
	}
	r.Shed = shed(after) - shed(before)
}
