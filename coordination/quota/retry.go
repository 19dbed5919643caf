// Package quota holds limits that all instances share without asking each other for each request. Each instance derives its
// part from the number of instances, so that the sum stays under the limit.
package quota

import (
	"sync"
	"time"

	"azurebridge/state"
)

// RetryLimit bounds how often requests for one service are sent again, over all instances and in any span of Window.
type RetryLimit struct {
	Ratio  float64 // retries per request for the service
	Extra  float64 // additional retries, for all instances together
	Window time.Duration
}

// retrySafety is the part of the limit that instances use. The rest covers instances that restart within a window and lose
// their count of sent retries.
const retrySafety = 0.7

// buckets is the number of buckets that a window is divided into. One more is retained, so that counts leave only when their
// whole bucket is older than Window, and no span of Window exceeds the limit.
const buckets = 20

// RetryBudget counts the requests and retries of one service at one instance. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	requests [buckets + 1]int
	retries  [buckets + 1]int
	newest   int64 // number of the newest bucket
}

// RecordRequest records a caller's request for the service.
func (b *RetryBudget) RecordRequest(now state.Instant, limit RetryLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now, limit)]++
}

// Allow records a retry and returns true if this instance's part of the limit allows it. instances is the number of instances
// that share the limit, or 0 if unknown: then Extra is not used and only this instance's requests allow retries.
func (b *RetryBudget) Allow(now state.Instant, limit RetryLimit, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now, limit)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := limit.Ratio * float64(requests)
	if instances > 0 {
		allowed += limit.Extra / float64(instances)
	}
	if float64(retries+1) > retrySafety*allowed {
		return false
	}
	b.retries[at]++
	return true
}

// advance clears the buckets that have left the window and returns the index of the current one. The caller holds b.mu.
func (b *RetryBudget) advance(now state.Instant, limit RetryLimit) int {
	number := int64(now) / int64(limit.Window/buckets)
	for b.newest < number {
		if number-b.newest > buckets {
			b.newest = number - buckets - 1
		}
		b.newest++
		b.requests[b.newest%(buckets+1)], b.retries[b.newest%(buckets+1)] = 0, 0
	}
	return int(b.newest % (buckets + 1))
}
