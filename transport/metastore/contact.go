package metastore

import (
	"math"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Contact records when the store last answered this instance. It is safe for concurrent use. While watches are interrupted, the
// answers to other calls do not count, because they tell nothing of changes.
type Contact struct {
	clock         func() state.Instant
	lastAnswer    atomic.Int64 // state.Instant; 0 before the first answer
	interruptedAt atomic.Int64 // state.Instant of the first interruption since the last answered watch or listing; 0 without one
	marked        chan struct{}
}

// NewContact returns a Contact without an answer so far.
func NewContact(clock func() state.Instant) *Contact {
	return &Contact{clock: clock, marked: make(chan struct{}, 1)}
}

// Mark records the answer of the store to a watch or a listing.
func (c *Contact) Mark() {
	c.Resume()
	c.MarkCall()
}

// Interrupt records that a watch ended early or was not answered.
func (c *Contact) Interrupt() { c.interruptedAt.CompareAndSwap(0, int64(c.clock())) }

// Resume ends an interruption, because changes are known from another source.
func (c *Contact) Resume() { c.interruptedAt.Store(0) }

// MarkCall records the answer of the store to a call that tells nothing of changes.
func (c *Contact) MarkCall() {
	c.lastAnswer.Store(int64(c.clock()))
	if c.interruptedAt.Load() != 0 {
		return
	}
	select {
	case c.marked <- struct{}{}:
	default: // the last signal has not been received yet
	}
}

// Marked receives a signal after the store has answered; pending signals are merged. It is for one goroutine.
func (c *Contact) Marked() <-chan struct{} { return c.marked }

// Age returns the time since the store's last answer, or since a watch was interrupted if that is longer, and math.MaxInt64 before
// the first answer.
func (c *Contact) Age() time.Duration {
	lastAnswer := state.Instant(c.lastAnswer.Load())
	if lastAnswer == 0 {
		return math.MaxInt64
	}
	if at := state.Instant(c.interruptedAt.Load()); at != 0 && at.Before(lastAnswer) {
		lastAnswer = at
	}
	return c.clock().Sub(lastAnswer)
}
