package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of the hint when to ask again.
const (
	minAfter = 50 * time.Millisecond
	maxAfter = 10 * time.Second
)

// linkUsable is the part of a link's capacity that is reserved. The rest takes the uneven parts of the bodies: the start of
// an answer fills the buffers on its way faster than the reserved rate.
const linkUsable = 0.92

// link is the rate reserved on the link from this region to another.
type link struct {
	to       state.RegionName
	capacity int64 // bytes per second; 0 means no limit
	reserved int64
}

func (l *link) hasRoom(rate int64) bool {
	if l == nil || l.capacity == 0 {
		return true
	}
	alone := l.reserved == 0 && rate <= l.capacity // otherwise a body as fast as the link could never run
	return alone || float64(l.reserved+rate) <= float64(l.capacity)*linkUsable
}

// shift is the use of an operator's shift into this region.
type shift struct {
	config  state.Shift
	inForce bool
	running int
	started bool
	base    int           // allowed at since
	since   state.Instant // when the ramp began
}

// allowed returns how many requests of the shift may run now.
func (s *shift) allowed(now state.Instant) int {
	if !s.inForce {
		return 0
	}
	if s.config.RampPerSecond <= 0 {
		return s.config.MaxRunning
	}
	if !s.started {
		s.started, s.since = true, now
	}
	grown := float64(s.config.RampPerSecond) * max(0, now.Sub(s.since).Seconds())
	return int(min(float64(s.config.MaxRunning), float64(s.base)+grown))
}

// change takes a new configuration of the shift. A ramp that has begun continues from where it is.
func (s *shift) change(now state.Instant, c state.Shift) {
	if s.inForce && s.config == c {
		return
	}
	if s.inForce && s.started {
		s.base, s.since = s.allowed(now), now
	} else if s.inForce {
		s.base = min(s.running, c.MaxRunning) // there was no ramp before
	} else {
		s.base, s.started = 0, false
	}
	s.config, s.inForce = c, true
}

// shiftFor returns the shift that a request or a held grant counts under. An entry instance with an older configuration
// does not name the shift, so the home finds it by itself. ok is false when the named shift is not in force here.
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

// never returns the reason why a request could not be granted even if nothing else ran.
func (h *Home) never(r *message.GrantRequest, a *account, key laneKey) message.Refusal {
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

// blocked returns the limit that stops a request now, apart from the servers' slots.
func (h *Home) blocked(now state.Instant, a *account, key laneKey) message.Refusal {
	switch {
	case !h.regionHasRoom():
		return message.RefusedRegion
	case a.running >= a.burst:
		return message.RefusedCustomer
	case !key.link.hasRoom(key.rate):
		return message.RefusedLink
	case key.shift != nil && key.shift.running >= key.shift.allowed(now):
		return message.RefusedShift
	case a.running >= max(1, a.guaranteed) && !a.pool.mayLend(now):
		// A customer whose share rounds down to no slot may still run one request when a slot is free.
		return message.RefusedCustomer
	}
	return message.RefusedNone
}

func (h *Home) regionHasRoom() bool { return h.maxRunning == 0 || h.running < h.maxRunning }

// after estimates when a refused request may succeed.
func (h *Home) after(now state.Instant, why message.Refusal, a *account, key laneKey) time.Duration {
	if a == nil {
		return 0
	}
	p := a.pool
	d := time.Duration(p.hold * float64(time.Second))
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
		d = maxAfter
		if at, ok := p.opensAt(now); ok {
			d = at.Sub(now)
		}
	case message.RefusedRetry:
		d = time.Second
	}
	return min(max(d, minAfter), maxAfter)
}
