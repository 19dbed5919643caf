package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Constants of the choice of backend server.
const (
	ejectAfter        = 3                      // consecutive failures
	minEjection       = time.Second            // first ejection; doubles up to maxEjection
	maxEjection       = 30 * time.Second       // max ejection
	warmupAnswers     = 4                      // successful answers that add one slot during warm-up
	warmupInterval    = time.Second            // time that adds one slot during warm-up, for services with slow answers
	shedRecovery      = 500 * time.Millisecond // time that adds one slot after a shed
	latencyAlpha      = 1.0 / 16               // weight of a new latency in the moving average
	latencyAlphaSlow  = 1.0 / 4                // the same for a slow server, which answers few requests
	latencyClip       = 10                     // max value of one latency as a multiple of the service's median, against heavy tails
	slowFactor        = 3.0                    // multiple of the service's median above which a server is slow
	minSamples        = 16                     // min number of latencies before a server is evaluated
	slowProbeInterval = time.Second            // between probe requests to a slow server
	evaluateInterval  = 100 * time.Millisecond // between evaluations of the servers of a service
)

// server is the state of one backend server.
type server struct {
	config     *state.BackendServer
	pool       *pool
	configured bool // in the configuration for this region
	drained    bool // or not configured any more
	running    int

	latency float64 // smoothed, in seconds
	samples int
	slow    bool
	usedAt  state.Instant // time of the last grant

	warming     bool
	warmupStart state.Instant // when warm-up began
	warmupOK    int           // successful answers since then

	failures      int // consecutive
	ejected       bool
	ejectedUntil  state.Instant // end of the ejection
	backoff       time.Duration
	probing       int // running probe requests
	reducedSlots  int // slots assumed after a shed; 0 when not reduced
	shedAt        state.Instant
	warmupPending bool // warm-up starts at the next call of limit
}

// limit returns how many requests the server may run now. It never exceeds the configured slots.
func (s *server) limit(now state.Instant) int {
	n := s.config.Slots
	if s.ejected {
		if now.Before(s.ejectedUntil) {
			return 0
		}
		// One probe at a time; grants from before the ejection may still run.
		return min(n, s.running-s.probing+1)
	}
	if s.warmupPending {
		s.warmupPending, s.warming, s.warmupStart, s.warmupOK = false, true, now, 0
	}
	if s.warming {
		w := 1 + max(s.warmupOK/warmupAnswers, int(now.Sub(s.warmupStart)/warmupInterval))
		if w >= n {
			s.warming, s.backoff = false, 0
		}
		n = min(n, w)
	}
	if s.reducedSlots > 0 {
		b := s.reducedSlots + int(now.Sub(s.shedAt)/shedRecovery)
		if b >= s.config.Slots {
			s.reducedSlots = 0
		}
		n = min(n, b)
	}
	return n
}

// recordResult updates the state of the server from the result of a grant.
func (s *server) recordResult(now state.Instant, r *message.Release, probe bool) {
	switch r.Result {
	case message.ResultOK:
		s.failures = 0
		s.observeLatency(r.Latency)
		if probe && s.ejected {
			s.ejected, s.warmupPending = false, true
			return
		}
		s.warmupOK++
	case message.ResultFailed, message.ResultTimeout:
		s.failures++
		if s.ejected && !probe {
			return
		}
		if probe || s.failures >= ejectAfter {
			s.eject(now)
		}
	case message.ResultShed:
		if probe && s.ejected {
			s.ejected, s.warmupPending = false, true // a shed is an answer, so the server has not failed
		}
		s.reducedSlots, s.shedAt = max(1, s.running-1), now // the grant that was shed still counts in running
	}
}

func (s *server) eject(now state.Instant) {
	s.backoff = min(max(2*s.backoff, minEjection), maxEjection)
	if s.pool.mostlyEjected() {
		s.backoff = minEjection
	}
	s.ejected, s.ejectedUntil, s.failures = true, now.Add(s.backoff), 0
	s.warming, s.warmupPending = false, false
}

// mostlyEjected reports whether more than half of the servers in use are ejected. They then probably share the cause
// and recover together, so each is probed every minEjection, without a growing backoff, and the service recovers soon.
func (p *pool) mostlyEjected() bool {
	ejected, used := 0, 0
	for _, s := range p.servers {
		if s.drained {
			continue
		}
		used++
		if s.ejected {
			ejected++
		}
	}
	return 2*ejected > used
}

func (s *server) observeLatency(d time.Duration) {
	v := d.Seconds()
	if m := s.pool.medianLatency; m > 0 {
		v = min(v, latencyClip*m)
	}
	s.samples++
	if s.samples == 1 {
		s.latency = v
		return
	}
	alpha := max(latencyAlpha, 1/float64(s.samples))
	if s.slow {
		alpha = latencyAlphaSlow
	}
	s.latency += (v - s.latency) * alpha
}

// evaluate marks the servers that are much slower than the median as slow. A slow server gets one probe request per
// slowProbeInterval, and more only when no other server is free and either many requests wait or all servers are slow.
func (p *pool) evaluate(now state.Instant) {
	if now.Sub(p.evaluatedAt) < evaluateInterval {
		return
	}
	p.evaluatedAt = now
	if p.mostlyEjected() {
		for _, s := range p.servers {
			s.ejectedUntil = min(s.ejectedUntil, now.Add(minEjection))
		}
	}
	known := p.scratch[:0]
	for _, s := range p.servers {
		if s.samples >= minSamples {
			known = append(known, s.latency)
		}
	}
	p.scratch = known
	if len(known) < 3 {
		return
	}
	sort.Float64s(known)
	p.medianLatency = known[len(known)/2]
	for _, s := range p.servers {
		// A slow server recovers at half the threshold, so that its state does not change with each answer.
		limit := slowFactor
		if s.slow {
			limit = slowFactor / 2
		}
		s.slow = s.samples >= minSamples && s.latency > limit*p.medianLatency
	}
}

// pick returns the server with the lowest share of busy slots, then the lowest latency, or nil when none has a free
// slot. Slow servers come last.
func (p *pool) pick(now state.Instant, exclude []state.BackendName) *server {
	var best, slow *server
	for _, s := range p.servers {
		if s.drained || s.running >= s.config.Slots || s.running >= s.limit(now) || contains(exclude, s.config.Name) {
			continue
		}
		if s.slow {
			// One ordinary request per interval serves as a probe, so that the server can recover.
			if s.running == 0 && now.Sub(s.usedAt) >= slowProbeInterval {
				return s
			}
			if slow == nil || s.better(slow) {
				slow = s
			}
			continue
		}
		if best == nil || s.better(best) {
			best = s
		}
	}
	if best == nil && slow != nil && (p.queued > p.slots/2 || p.allSlow()) {
		return slow
	}
	return best
}

// better reports whether s is the better choice of two servers with a free slot.
func (s *server) better(o *server) bool {
	a, b := s.running*o.config.Slots, o.running*s.config.Slots
	if a != b {
		return a < b
	}
	if s.warming != o.warming {
		return o.warming
	}
	return s.latency < o.latency
}

func (p *pool) allSlow() bool {
	for _, s := range p.servers {
		if !s.drained && !s.slow && !s.ejected {
			return false
		}
	}
	return true
}

// availableAt returns when the first server accepts requests again; ok is false when the service has no server in use.
func (p *pool) availableAt(now state.Instant) (at state.Instant, ok bool) {
	for _, s := range p.servers {
		if s.drained {
			continue
		}
		t := now
		if s.ejected {
			t = max(now, s.ejectedUntil)
		}
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

func contains(list []state.BackendName, name state.BackendName) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
