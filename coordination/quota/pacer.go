package quota

import (
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Pacer spaces the requests of one instance to one backend server. It is safe for concurrent use.
type Pacer struct {
	last atomic.Int64 // state.Instant of the last request; 0 before the first
}

// Ready reports whether a request may be sent now, at least interval after the last one.
func (p *Pacer) Ready(now state.Instant, interval time.Duration) bool {
	last := p.last.Load()
	return last == 0 || now.Sub(state.Instant(last)) >= interval
}

// Allow reports whether a request may be sent now, and counts it as sent. It returns true at most once in each interval.
func (p *Pacer) Allow(now state.Instant, interval time.Duration) bool {
	last := p.last.Load()
	return p.Ready(now, interval) && p.last.CompareAndSwap(last, int64(now))
}

// Restart counts a request as sent at the given time, also one to come.
func (p *Pacer) Restart(at state.Instant) { p.last.Store(int64(at)) }
