package metastore

import (
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Contact knows when the store last answered this instance. It is safe for concurrent use.
type Contact struct {
	clock func() state.Instant
	at    atomic.Int64 // state.Instant; 0 before the first answer
}

// NewContact returns a contact without an answer so far.
func NewContact(clock func() state.Instant) *Contact { return &Contact{clock: clock} }

// Mark records an answer of the store.
func (c *Contact) Mark() { c.at.Store(int64(c.clock())) }

// Within reports whether the store has answered within the time.
func (c *Contact) Within(age time.Duration) bool {
	at := state.Instant(c.at.Load())
	return at != 0 && c.clock().Sub(at) <= age
}
