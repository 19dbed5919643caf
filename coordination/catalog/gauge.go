package catalog

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// loadMemory is the time in which a reported load loses half of its weight.
const loadMemory = 800 * time.Millisecond

// Gauge holds what traffic goroutines know of a backend server's load. It is safe for concurrent use.
type Gauge struct {
	Pace quota.Pacer

	mu    sync.Mutex
	begun []state.Instant // of the requests of this instance at the server, in order
	load  int             // requests that the server ran or queued at the last report
	at    state.Instant   // of the last report; 0 before the first
	since int             // requests that this instance has sent since
}

// Begin counts a request that is sent to the server.
func (g *Gauge) Begin(now state.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = append(g.begun, now)
	g.since++
}

// End counts the end of a request that began at the given time.
func (g *Gauge) End(begun state.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.begun, begun); i >= 0 {
		g.begun = slices.Delete(g.begun, i, i+1)
	}
}

// Longest returns how long the oldest request of this instance at the server has been there.
func (g *Gauge) Longest(now state.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.begun) == 0 {
		return 0
	}
	return now.Sub(g.begun[0])
}

// Report records the load that the server told with an answer.
func (g *Gauge) Report(at state.Instant, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at, g.load, g.since = at, max(0, load), 0
}

// Load estimates the requests at the server: what it reported and what this instance has sent since, or the requests of
// this instance that run, whichever is more. A report counts less with its age.
func (g *Gauge) Load(now state.Instant) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := float64(len(g.begun))
	if g.at == 0 {
		return own
	}
	age := max(0, now.Sub(g.at))
	return max(own, float64(g.load+g.since)*float64(loadMemory)/float64(loadMemory+age))
}

// ServiceTime estimates how long the servers of a service take for a request without waiting. It is safe for concurrent
// use.
type ServiceTime struct {
	nanos atomic.Int64
}

// timeWeight is the weight of the newest answer in the estimate.
const timeWeight = 8

// Learn records that a server with load requests on its slots took a time, of which the wait for a slot is a part.
func (s *ServiceTime) Learn(took time.Duration, load float64, slots int) {
	unqueued := int64(float64(took) / max(1, load/float64(max(1, slots))))
	old := s.nanos.Load()
	if old == 0 {
		s.nanos.Store(unqueued)
		return
	}
	s.nanos.Store(old + (unqueued-old)/timeWeight)
}

// Estimate returns the mean time, or 0 before the first answer.
func (s *ServiceTime) Estimate() time.Duration { return time.Duration(s.nanos.Load()) }
