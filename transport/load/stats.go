package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the recorded latencies in microseconds, and their number of significant digits.
const (
	lowestLatency  = 10
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
)

// Stats counts events of the whole run, over all customers and services.
type Stats struct {
	Lookups       atomic.Uint64
	LookupsFailed atomic.Uint64
	Retries       atomic.Uint64
	Resumed       atomic.Uint64 // attempts that asked for the rest of a body
	Repeats       atomic.Uint64 // submissions sent again with the same key
	Overflow      atomic.Uint64 // arrivals dropped because MaxInFlight requests were in flight
	Cut           atomic.Uint64 // bodies that ended with an error
	WrongBody     atomic.Uint64
	Truncated     atomic.Uint64
	Bytes         atomic.Uint64 // of bodies received by reads
}

// counters holds the counts of one customer and service.
type counters struct {
	mu       sync.Mutex
	results  [resultFailed + 1]uint64
	requests uint64
	latency  *hdrhistogram.Histogram // of requests with resultOK, in microseconds from the intended start
}

func newCounters() *counters {
	return &counters{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (c *counters) add(r result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.results[r]++
	if r == resultOK {
		_ = c.latency.RecordValue(min(max(took.Microseconds(), lowestLatency), highestLatency)) // cannot fail: the value is within the range
	}
}

// merge adds the counts of o. The caller must prevent concurrent changes of both.
func (c *counters) merge(o *counters) {
	c.requests += o.requests
	for i, n := range o.results {
		c.results[i] += n
	}
	c.latency.Merge(o.latency)
}

// pair is a customer and a service.
type pair struct{ customer, service string }

// table holds the counters of all customers and services.
type table struct {
	mu     sync.Mutex
	byPair map[pair]*counters
}

// get returns the counters of a pair, and adds them if missing.
func (t *table) get(p pair) *counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byPair[p]
	if c == nil {
		c = newCounters()
		t.byPair[p] = c
	}
	return c
}
