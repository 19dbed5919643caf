// Package hostclock reads a clock of the host for leases. The monotonic clock of Go's time package stands still while a machine
// is suspended, so that a holder would take a lease that has lapsed meanwhile for valid.
package hostclock

import (
	"time"

	"golang.org/x/sys/unix"

	"azurebridge/state"
)

// New returns a function that reads a clock that also counts the time for which the machine was suspended. It starts at the
// first reading; its origin has no meaning.
func New() func() state.Instant { return newClock(unix.ClockGettime, state.MonotonicClock()) }

// newClock reads CLOCK_BOOTTIME, or fallback where the host does not have it.
func newClock(read func(id int32, t *unix.Timespec) error, fallback func() state.Instant) func() state.Instant {
	var start unix.Timespec
	if read(unix.CLOCK_BOOTTIME, &start) != nil {
		return fallback
	}
	return func() state.Instant {
		now := start
		_ = read(unix.CLOCK_BOOTTIME, &now) // has succeeded before and has no other cause of failure
		return state.Instant(time.Duration(now.Nano() - start.Nano()))
	}
}
