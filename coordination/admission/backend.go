package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Constants of the choice of backend server.
const (
	ejectAfter       = 3                // consecutive failures
	ejectFirst       = time.Second      // first ejection; doubles up to ejectMax
	ejectMax         = 30 * time.Second // longest ejection
	warmStep         = 4                // successful answers for one more slot during warm-up
	warmInterval     = time.Second      // time for one more slot during warm-up, for services whose answers take long
	shedRegrow       = 500 * time.Millisecond
	latencyAlpha     = 1.0 / 16 // weight of a new latency
	latencyAlphaSlow = 1.0 / 4  // the same for a slow server, which answers few requests
	latencyClip      = 10       // times the service's median that one latency counts at most, against heavy tails
	slowFactor       = 3.0      // times the service's median from which a server is slow
	slowSamples      = 16       // latencies needed before a server is judged
	slowProbe        = time.Second
	judgeEvery       = 100 * time.Millisecond
)

// server is the state of one backend server.
type server struct {
	config  *state.BackendServer
	pool    *pool
	listed  bool // in the configuration for this region
	drained bool // or no longer listed
	running int

	latency float64 // smoothed, in seconds
	samples int
	slow    bool
	usedAt  state.Instant // of the last grant

	warming bool
	warmAt  state.Instant // when warm-up began
	warmOK  int           // successful answers since then

	failures  int // consecutive
	ejected   bool
	until     state.Instant // end of the ejection
	backoff   time.Duration
	probing   int // probe requests that run
	believed  int // slots believed after a shed; 0 when none
	shedAt    state.Instant
	coldSince bool // warm-up starts at the next use of the clock
}

// limit returns how many requests the server may run now. It never exceeds the configured slots.
func (s *server) limit(now state.Instant) int {
	n := s.config.Slots
	if s.ejected {
		if now.Before(s.until) {
			return 0
		}
		// One probe at a time; grants from before the ejection may still run.
		return min(n, s.running-s.probing+1)
	}
	if s.coldSince {
		s.coldSince, s.warming, s.warmAt, s.warmOK = false, true, now, 0
	}
	if s.warming {
		w := 1 + max(s.warmOK/warmStep, int(now.Sub(s.warmAt)/warmInterval))
		if w >= n {
			s.warming, s.backoff = false, 0
		}
		n = min(n, w)
	}
	if s.believed > 0 {
		b := s.believed + int(now.Sub(s.shedAt)/shedRegrow)
		if b >= s.config.Slots {
			s.believed = 0
		}
		n = min(n, b)
	}
	return n
}

// record takes the result of a grant into account.
func (s *server) record(now state.Instant, r *message.Release, probe bool) {
	switch r.Result {
	case message.ResultOK:
		s.failures = 0
		s.observe(r.Latency)
		if probe && s.ejected {
			s.ejected, s.coldSince = false, true
			return
		}
		s.warmOK++
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
			s.ejected, s.coldSince = false, true // it answers, so it is not failed
		}
		s.believed, s.shedAt = max(1, s.running-1), now // the grant that was shed still counts in running
	}
}

func (s *server) eject(now state.Instant) {
	s.backoff = min(max(2*s.backoff, ejectFirst), ejectMax)
	if s.pool.mostlyEjected() {
		s.backoff = ejectFirst
	}
	s.ejected, s.until, s.failures = true, now.Add(s.backoff), 0
	s.warming, s.coldSince = false, false
}

// mostlyEjected reports whether more than half of the servers in use are ejected. The cause then lies with something that
// they share, and all of them return together: they are probed each ejectFirst, so that the service returns in time.
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

func (s *server) observe(d time.Duration) {
	v := d.Seconds()
	if m := s.pool.median; m > 0 {
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

// judge finds the servers that are much slower than the median. A slow server gets a probe request now and then, and
// more only when many requests wait.
func (p *pool) judge(now state.Instant) {
	if now.Sub(p.judgedAt) < judgeEvery {
		return
	}
	p.judgedAt = now
	if p.mostlyEjected() {
		for _, s := range p.servers {
			s.until = min(s.until, now.Add(ejectFirst))
		}
	}
	known := p.scratch[:0]
	for _, s := range p.servers {
		if s.samples >= slowSamples {
			known = append(known, s.latency)
		}
	}
	p.scratch = known
	if len(known) < 3 {
		return
	}
	sort.Float64s(known)
	p.median = known[len(known)/2]
	for _, s := range p.servers {
		// A server returns at half the threshold, so that it does not change sides with each answer.
		limit := slowFactor
		if s.slow {
			limit = slowFactor / 2
		}
		s.slow = s.samples >= slowSamples && s.latency > limit*p.median
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
			// The probe takes the place of an ordinary request once per interval, so that the server can recover.
			if s.running == 0 && now.Sub(s.usedAt) >= slowProbe {
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

// opensAt returns when the first server takes requests again; ok is false when the service has no server in use.
func (p *pool) opensAt(now state.Instant) (at state.Instant, ok bool) {
	for _, s := range p.servers {
		if s.drained {
			continue
		}
		t := now
		if s.ejected {
			t = max(now, s.until)
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
