package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of the hint when to ask again.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// usableLinkShare is the share of a link's capacity that may be reserved. The rest absorbs bursts: the start of a
// response body fills the buffers on its path faster than the reserved rate.
const usableLinkShare = 0.92

// link is the rate reserved on the link from this region to another.
type link struct {
	to       state.RegionName
	capacity int64 // bytes per second; 0 means no limit
	reserved int64
}

func (l *link) hasCapacity(rate int64) bool {
	if l == nil || l.capacity == 0 {
		return true
	}
	alone := l.reserved == 0 && rate <= l.capacity // without this, a request for the whole link could never run
	return alone || float64(l.reserved+rate) <= float64(l.capacity)*usableLinkShare
}

// shift counts the requests that run here because of an operator's shift of traffic into this region.
type shift struct {
	config      state.Shift
	inForce     bool
	running     int
	rampStarted bool
	baseAllowed int           // requests allowed at rampStart
	rampStart   state.Instant // when the current ramp began
}

// allowed returns how many requests of the shift may run now. The first call begins the ramp.
func (s *shift) allowed(now state.Instant) int {
	if !s.inForce {
		return 0
	}
	if s.config.RampPerSecond <= 0 {
		return s.config.MaxRunning
	}
	if !s.rampStarted {
		s.rampStarted, s.rampStart = true, now
	}
	increase := float64(s.config.RampPerSecond) * max(0, now.Sub(s.rampStart).Seconds())
	return int(min(float64(s.config.MaxRunning), float64(s.baseAllowed)+increase))
}

// applyConfig applies a new configuration of the shift. A ramp that has begun continues from its current value.
func (s *shift) applyConfig(now state.Instant, c state.Shift) {
	if s.inForce && s.config == c {
		return
	}
	if s.inForce && s.rampStarted {
		s.baseAllowed, s.rampStart = s.allowed(now), now
	} else if s.inForce {
		s.baseAllowed = min(s.running, c.MaxRunning) // there was no ramp before
	} else {
		s.baseAllowed, s.rampStarted = 0, false
	}
	s.config, s.inForce = c, true
}

// shiftFor returns the shift that a request or a held grant counts under. An entry instance with an older configuration
// does not name the shift, so the home looks it up by region. ok is false when the named shift is not in force here.
func (h *Home) shiftFor(entry state.RegionName, name state.ShiftName) (s *shift, ok bool) {
	if name != "" {
		s = h.shifts[name]
		return s, s != nil && s.inForce
	}
	if entry == h.region || !h.drainedRegions[entry] {
		return nil, true
	}
	return h.shiftsFrom[entry], true
}

// linkTo returns the link to the region where a request entered, nil when its response crosses no link.
func (h *Home) linkTo(entry state.RegionName) *link {
	if entry == h.region || entry == "" {
		return nil
	}
	l := h.links[entry]
	if l == nil {
		l = &link{to: entry}
		h.links[entry] = l
	}
	return l
}

// permanentRefusal returns the reason why a request could not be granted even if nothing else ran.
func (h *Home) permanentRefusal(r *message.GrantRequest, a *account, key laneKey) message.Refusal {
	switch {
	case !a.allowed || a.burst == 0:
		return message.RefusedPlan
	case key.link != nil && key.link.capacity > 0 && r.Rate > key.link.capacity:
		return message.RefusedLink
	case key.shift != nil && (!key.shift.inForce || key.shift.config.MaxRunning <= 0):
		return message.RefusedShift
	case a.pool.slots == 0:
		return message.RefusedNoBackend
	}
	return message.RefusedNone
}

// blocked returns the limit that prevents a grant now, apart from the servers' slots.
func (h *Home) blocked(now state.Instant, a *account, key laneKey) message.Refusal {
	switch {
	case !h.regionHasCapacity():
		return message.RefusedRegion
	case a.running >= a.burst:
		return message.RefusedCustomer
	case !key.link.hasCapacity(key.rate):
		return message.RefusedLink
	case key.shift != nil && key.shift.running >= key.shift.allowed(now):
		return message.RefusedShift
	case a.running >= max(1, a.guaranteed) && !a.pool.mayLend(now):
		// A customer whose share rounds down to no slot may still run one request when a slot is free.
		return message.RefusedCustomer
	}
	return message.RefusedNone
}

func (h *Home) regionHasCapacity() bool { return h.maxRunning == 0 || h.running < h.maxRunning }

// retryAfter estimates the time until a refused request may succeed.
func (h *Home) retryAfter(now state.Instant, why message.Refusal, a *account, key laneKey) time.Duration {
	if a == nil {
		return 0
	}
	p := a.pool
	d := time.Duration(p.meanHold * float64(time.Second))
	switch why {
	case message.RefusedPlan, message.RefusedUnknown:
		return 0
	case message.RefusedQueueFull, message.RefusedTimeout:
		d = time.Duration(float64(d) * float64(p.queued+1) / float64(max(1, p.slots)))
	case message.RefusedShift:
		if key.shift != nil && key.shift.config.RampPerSecond > 0 {
			d = time.Second / time.Duration(key.shift.config.RampPerSecond)
		}
	case message.RefusedNoBackend:
		d = maxRetryAfter
		if at, ok := p.availableAt(now); ok {
			d = at.Sub(now)
		}
	case message.RefusedRetry:
		d = time.Second
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
