package quota

import (
	"math"
	"sync"
	"sync/atomic"

	"azurebridge/state"
)

// Bounds of the limits that backend servers name, in requests/s. A server that names less, even 0, still gets a request now and
// then, since only its answers tell when the limit ends.
const (
	MinNamedRate = 1.0 / 60
	MaxNamedRate = 1e6
)

// NamedLimit is the number of requests/s that a backend server takes from all instances together, as its answers state it. It is
// safe for concurrent use.
type NamedLimit struct {
	bits    atomic.Uint64 // the rate in requests/s, as math.Float64bits; 0 when the server names no limit
	mu      sync.Mutex    // held while the limit is changed
	namedAt state.Instant // when the last answer that named the rate arrived
}

// Rate returns the limit in requests/s, or 0 without one.
func (l *NamedLimit) Rate() float64 { return math.Float64frombits(l.bits.Load()) }

// LimitChange is how an answer has changed a limit.
type LimitChange int

const (
	LimitUnchanged LimitChange = iota
	LimitBegun
	LimitAltered
	LimitEnded
)

// End ends the limit, because another instance has seen it end. It returns false when there was none.
func (l *NamedLimit) End() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return math.Float64frombits(l.bits.Swap(0)) > 0
}

// Record applies an answer that arrives now and names a rate in requests/s, or none (0). Answers can overtake each other, so that a
// limit rises or ends only with an answer to a request that was sent after the limit had last been named.
func (l *NamedLimit) Record(now, sent state.Instant, rate float64) LimitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.Rate()
	lower := rate > 0 && (before == 0 || rate < before)
	if rate != before && !lower && sent.Before(l.namedAt) {
		return LimitUnchanged
	}
	l.bits.Store(math.Float64bits(rate))
	if rate > 0 {
		l.namedAt = now
	}
	switch {
	case rate == before:
		return LimitUnchanged
	case before == 0:
		return LimitBegun
	case rate == 0:
		return LimitEnded
	}
	return LimitAltered
}
