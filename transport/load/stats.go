package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of recorded latencies in microseconds, and the significant digits kept.
const (
	lowestLatency  = 10
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
)

// Stats counts what does not belong to one customer and service.
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
	Bytes         atomic.Uint64 // of bodies
}

// cell is the counts of one customer and service.
type cell struct {
	mu       sync.Mutex
	results  [resultFailed + 1]uint64
	requests uint64
	latency  *hdrhistogram.Histogram // microseconds from the intended start, of requests that ended with resultOK
}

func newCell() *cell {
	return &cell{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (c *cell) add(r result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.results[r]++
	if r == resultOK {
		_ = c.latency.RecordValue(min(max(took.Microseconds(), lowestLatency), highestLatency)) // within its range
	}
}

// merge adds the counts of another cell that is no longer in use.
func (c *cell) merge(o *cell) {
	c.requests += o.requests
	for i, n := range o.results {
		c.results[i] += n
	}
	c.latency.Merge(o.latency)
}

// pair names a cell.
type pair struct{ customer, service string }

// table is the cells of all customers and services.
type table struct {
	mu    sync.Mutex
	cells map[pair]*cell
}

func (t *table) of(p pair) *cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cells[p]
	if c == nil {
		c = newCell()
		t.cells[p] = c
	}
	return c
}
