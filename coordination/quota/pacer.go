package quota

import (
	"slices"
	"sync"
	"time"

	"azurebridge/state"
)

// Pace is a max number of requests in any span of time. The zero Pace allows none.
type Pace struct {
	Count int           // MaxPaceCount at most
	Per   time.Duration // length of the span
}

// MaxPaceCount bounds the count of a Pace, and so what a Pacer remembers.
const MaxPaceCount = 16

// Pacer keeps the requests of one instance to one backend server within a pace. It is safe for concurrent use.
type Pacer struct {
	mu   sync.Mutex
	sent []state.Instant // times of the last requests, oldest first, MaxPaceCount at most
}

// Ready reports whether a request may be sent now.
func (p *Pacer) Ready(now state.Instant, pace Pace) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready(now, pace)
}

// ready reports whether a request may be sent now. p.mu is held on entry.
func (p *Pacer) ready(now state.Instant, pace Pace) bool {
	if pace.Count == 0 || len(p.sent) < pace.Count {
		return pace.Count > 0
	}
	return now.Sub(p.sent[len(p.sent)-pace.Count]) >= pace.Per
}

// Allow reports whether a request may be sent now, and counts it as sent if so.
func (p *Pacer) Allow(now state.Instant, pace Pace) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready(now, pace) {
		return false
	}
	p.append(now)
	return true
}

// Record counts a request as sent that was sent without asking.
func (p *Pacer) Record(at state.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.append(at)
}

// append records a request. p.mu is held on entry.
func (p *Pacer) append(at state.Instant) {
	if len(p.sent) == MaxPaceCount {
		p.sent = slices.Delete(p.sent, 0, 1)
	}
	p.sent = append(p.sent, at)
}
