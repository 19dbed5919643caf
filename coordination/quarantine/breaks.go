package quarantine

import (
	"time"

	"azurebridge/state"
)

// Process identifies one process of a backend server.
type Process struct {
	Server state.BackendName
	Born   int64 // start of the process; 0 when the platform does not state it
}

// Break is an exchange that was sent and ended without an answer.
type Break struct {
	Fingerprint Fingerprint
	Route       string
	Process     Process
	Domain      state.DomainName
	At          state.Instant
}

// Bounds of the breaks and ends that wait for each other.
const (
	// ConfirmWindow is how long a break and the end of its process may be apart. A process that has ended is noticed by a refused
	// connection at once, or when its lease of 3.5 s ends.
	ConfirmWindow = 5 * time.Second
	maxBreaks     = 512
	maxEnded      = 1024
)

// Breaks matches broken exchanges with processes that are found to have ended. It belongs to the control goroutine.
type Breaks struct {
	waiting []Break // oldest first
	ended   map[Process]state.Instant
	Missed  uint64 // breaks and ends that did not fit
}

// Broke records a break. It returns true when its process is known to have ended.
func (b *Breaks) Broke(now state.Instant, broken Break) bool {
	b.expire(now)
	if _, ok := b.ended[broken.Process]; ok {
		return true
	}
	if len(b.waiting) >= maxBreaks {
		b.waiting = b.waiting[1:]
		b.Missed++
	}
	b.waiting = append(b.waiting, broken)
	return false
}

// Ended records that a process has ended, and returns the breaks that waited for it.
func (b *Breaks) Ended(now state.Instant, p Process) []Break {
	b.expire(now)
	if b.ended == nil {
		b.ended = make(map[Process]state.Instant)
	}
	if len(b.ended) >= maxEnded {
		b.Missed++
	} else {
		b.ended[p] = now
	}
	var confirmed, rest []Break
	for _, broken := range b.waiting {
		if broken.Process == p {
			confirmed = append(confirmed, broken)
		} else {
			rest = append(rest, broken)
		}
	}
	b.waiting = rest
	return confirmed
}

// expire forgets breaks and ends that are older than ConfirmWindow.
func (b *Breaks) expire(now state.Instant) {
	for len(b.waiting) > 0 && now.Sub(b.waiting[0].At) > ConfirmWindow {
		b.waiting = b.waiting[1:]
	}
	for p, at := range b.ended {
		if now.Sub(at) > ConfirmWindow {
			delete(b.ended, p)
		}
	}
}
