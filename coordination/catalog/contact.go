package catalog

import (
	"time"

	"azurebridge/state"
)

// minOutage is how long the store must be out of contact for leases to have expired: servers renew theirs every second or two, so
// that a watch that was interrupted for less tells nothing about them.
const minOutage = time.Second

// storeContact records whether the store answers this instance. All that follows from a lost store is decided here: whether
// missing servers may be removed, and how long they stay in use.
type storeContact struct {
	lost        bool
	lostSince   state.Instant
	callFailed  bool          // a call that is always answered at once has failed, not only a watch
	outageUntil state.Instant // end of the last outage, plus outageRecoveryTime
}

// failed records a call without an answer.
func (s *storeContact) failed(now state.Instant) {
	s.interrupted(now)
	s.callFailed = true
}

// interrupted records a watch that ended early or was not answered. A later change may be unknown until the store answers.
func (s *storeContact) interrupted(now state.Instant) {
	if !s.lost {
		s.lost, s.lostSince = true, now
	}
}

// answered records an answer of the store to any call.
func (s *storeContact) answered(now state.Instant) {
	if s.outage(now) {
		s.outageUntil = now.Add(outageRecoveryTime)
	}
	s.lost, s.callFailed = false, false
}

// outage reports whether the store has been out of contact for so long that leases of live servers may have expired.
func (s *storeContact) outage(now state.Instant) bool {
	return s.lost && (s.callFailed || !now.Before(s.lostSince.Add(minOutage)))
}

// mayRemove reports whether servers that are missing may be removed: while the store does not answer, live servers cannot
// register again.
func (s *storeContact) mayRemove() bool { return !s.lost }

// massGrace returns how long many servers that disappear together stay in use.
func (s *storeContact) massGrace(now state.Instant) time.Duration {
	if s.outage(now) || now.Before(s.outageUntil) {
		return OutageGrace
	}
	return massExpiryGrace
}
