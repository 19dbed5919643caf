package metastore

import (
	"math"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Contact knows when the store last answered this instance. It is safe for concurrent use.
type Contact struct {
	clock  func() state.Instant
	at     atomic.Int64 // state.Instant; 0 before the first answer
	marked chan struct{}
}

// NewContact returns a contact without an answer so far.
func NewContact(clock func() state.Instant) *Contact {
	return &Contact{clock: clock, marked: make(chan struct{}, 1)}
}

// Mark records an answer of the store.
func (c *Contact) Mark() {
	c.at.Store(int64(c.clock()))
	select {
	case c.marked <- struct{}{}:
	default: // not yet taken
	}
}

// Marked tells that the store has answered. It is for one goroutine.
func (c *Contact) Marked() <-chan struct{} { return c.marked }

// Age returns the time since the store's last answer, or a very long one before the first.
func (c *Contact) Age() time.Duration {
	at := state.Instant(c.at.Load())
	if at == 0 {
		return math.MaxInt64
	}
	return c.clock().Sub(at)
}
