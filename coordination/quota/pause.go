package quota

import (
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// MaxPause bounds a Pause. A faulty server could otherwise exclude itself for good with one answer.
const MaxPause = 10 * time.Minute

// Pause is the time for which a backend server has asked this instance to send it nothing. It is safe for concurrent use.
type Pause struct {
	until atomic.Int64 // state.Instant; 0 before the first pause
}

// Extend makes the pause last for d from now on, at most MaxPause. A pause that lasts longer already stays as it is. Extend
// reports whether a new pause has begun.
func (p *Pause) Extend(now state.Instant, d time.Duration) (begun bool) {
	end := int64(now.Add(min(d, MaxPause)))
	for {
		until := p.until.Load()
		if end <= until {
			return false
		}
		if p.until.CompareAndSwap(until, end) {
			return until <= int64(now)
		}
	}
}

// Until returns when the pause ends or has ended; 0 when there was none.
func (p *Pause) Until() state.Instant { return state.Instant(p.until.Load()) }

// Active reports whether the server must get no requests now.
func (p *Pause) Active(now state.Instant) bool { return now.Before(p.Until()) }
