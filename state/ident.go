// Package state holds the typed values that every other layer works on: identifiers, the operators'
// configuration, and the immutable snapshot that traffic goroutines read. It does no I/O and knows no encoding.
package state

import (
	"hash/maphash"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceName names one entry instance. It stays the same when the process restarts at the same address.
type InstanceName string

// Incarnation distinguishes successive processes that run under one InstanceName. A later process has a higher value.
type Incarnation uint64

// RegionName names a region.
type RegionName string

// DomainName names a failure domain.
type DomainName string

// CustomerName names a customer.
type CustomerName string

// PlanName names a plan.
type PlanName string

// ServiceName names a service that backend servers offer.
type ServiceName string

// BackendName names a backend server.
type BackendName string

// ShiftName names an operator's shift of traffic.
type ShiftName string

// Revision numbers accepted configurations. Zero means that none has been accepted.
type Revision uint64

// Instant is a point on a process's own monotonic clock, in nanoseconds since an arbitrary start. Instants of
// different processes must not be compared.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// MonotonicClock returns a function that reads this process's monotonic clock.
func MonotonicClock() func() Instant {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)) }
}

// RendezvousScore ranks a candidate for a key by rendezvous hashing: of all candidates, the one with the highest
// score is chosen, and removing any other candidate does not change that choice.
func RendezvousScore(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// RendezvousFraction returns the score as a number above 0 and up to 1.
func RendezvousFraction(key, candidate string) float64 {
	const unit = 1.0 / (1 << 53)
	return (float64(RendezvousScore(key, candidate)>>11) + 1) * unit
}

// NewIncarnation returns an incarnation for a process that starts at the given wall-clock time. The low bits are
// random, so that two processes started in the same millisecond differ.
func NewIncarnation(now time.Time) Incarnation {
	const randomBits = 20
	random := maphash.Comparable(maphash.MakeSeed(), now) & (1<<randomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<randomBits | random)
}
