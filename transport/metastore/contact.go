package metastore

import (
	"math"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Contact records when the store last answered this instance. It is safe for concurrent use.
type Contact struct {
	clock      func() state.Instant
	lastAnswer atomic.Int64 // state.Instant; 0 before the first answer
	marked     chan struct{}
}

// NewContact returns a Contact without an answer so far.
func NewContact(clock func() state.Instant) *Contact {
	return &Contact{clock: clock, marked: make(chan struct{}, 1)}
}

// Mark records an answer of the store.
func (c *Contact) Mark() {
	c.lastAnswer.Store(int64(c.clock()))
	select {
	case c.marked <- struct{}{}:
	default: // the last signal has not been received yet
	}
}

// Marked receives a signal after the store has answered; pending signals are merged. It is for one goroutine.
func (c *Contact) Marked() <-chan struct{} { return c.marked }

// Age returns the time since the store's last answer, or math.MaxInt64 before the first one.
func (c *Contact) Age() time.Duration {
	lastAnswer := state.Instant(c.lastAnswer.Load())
	if lastAnswer == 0 {
		return math.MaxInt64
	}
	return c.clock().Sub(lastAnswer)
}
