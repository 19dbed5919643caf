package hostclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"azurebridge/state"
)

// Guards against a home that acts on a lease that has lapsed while its machine was suspended: the clock must count that time.
func TestClockCountsTheTimeOfASuspension(t *testing.T) {
	g := NewWithT(t)
	host := map[int32]time.Duration{unix.CLOCK_BOOTTIME: time.Hour, unix.CLOCK_MONOTONIC: time.Hour}
	read := func(id int32, t *unix.Timespec) error {
		*t = unix.NsecToTimespec(int64(host[id]))
		return nil
	}
	clock := newClock(read, func() state.Instant { return 0 })
	g.Expect(clock()).To(Equal(state.Instant(0)))
	host[unix.CLOCK_BOOTTIME] += 5 * time.Second // suspended: the monotonic clock stands still
	g.Expect(clock()).To(Equal(state.Instant(5 * time.Second)))
}

// Guards against a clock that fails, or runs backwards, on this host.
func TestClockOfThisHostAdvances(t *testing.T) {
	g := NewWithT(t)
	clock := New()
	last := clock()
	for range 1000 {
		now := clock()
		g.Expect(now).To(BeNumerically(">=", last))
		last = now
	}
	g.Eventually(clock, 10*time.Second).Should(BeNumerically(">", last))
}

// Guards against an instance that does not run where the host has no such clock.
func TestMissingClockIsReplaced(t *testing.T) {
	g := NewWithT(t)
	clock := newClock(func(int32, *unix.Timespec) error { return unix.EINVAL }, func() state.Instant { return 7 })
	g.Expect(clock()).To(Equal(state.Instant(7)))
}
