package placement

import (
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// minSpread is the min time over which callers that were refused for the same reason are spread when they return.
const minSpread = 300 * time.Millisecond

// RetryAfter returns the time after which a server is available again for a request that Choose has refused because all servers
// that its route allows have asked for a pause; 0 when one has not. Callers that are refused meanwhile would return together
// and be turned away again, so that they are spread over the time that the server needs for the requests it already has.
func RetryAfter(v *catalog.View, r *Request, now state.Instant) time.Duration {
	s := v.Services[r.Service]
	if s == nil {
		return 0
	}
	first := firstToResume(s, r, now)
	if first == nil {
		return 0
	}
	wait := first.Gauge.Pause.Until().Sub(now)
	spread := max(minSpread, expectedTime(first, s.Time.Estimate(), now))
	return wait + time.Duration(r.Random()*float64(spread))
}

// firstToResume returns the server whose pause ends first, or nil when the route has a server without a pause.
func firstToResume(s *catalog.Service, r *Request, now state.Instant) *catalog.Server {
	var first *catalog.Server
	for _, m := range s.Servers {
		if !r.servedIn(m.Region) || m.Gauge.Leaving() {
			continue
		}
		if !m.Gauge.Pause.Active(now) {
			return nil
		}
		if first == nil || m.Gauge.Pause.Until().Before(first.Gauge.Pause.Until()) {
			first = m
		}
	}
	return first
}
