package observe

import (
	"sync/atomic"
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/coordination/steering"
	"azurebridge/state"
)

// Bounds of the kept decisions.
const (
	MaxDecisions    = 256
	MaxDecisionRate = 64 // kept per second, for requests that ran and for others each
)

// candidate is a region that a request could use, with the figures that its place in the order came from.
type candidate struct {
	region                 state.RegionName
	known                  bool
	running, queued, slots int
	regionRunning, limit   int
	age                    time.Duration
}

// decision is a steering decision as it is kept. It holds no pointers into the request, so that keeping it allocates nothing.
type decision struct {
	seq        uint64
	at         state.Instant
	key        key
	revision   state.Revision
	candidates [steering.MaxTargets]candidate
	count      int
	refusals   [maxRefusals]message.Refusal
	refused    int
	region     state.RegionName
	backend    state.BackendName
	attempts   int
	outcome    Outcome
	status     int
	firstByte  time.Duration
	whole      time.Duration
}

// place holds one decision. Whoever sets busy may use it; nobody waits for it.
type place struct {
	busy atomic.Bool
	d    decision
}

// ring keeps the last decisions.
type ring struct {
	next   atomic.Uint64
	places [MaxDecisions]place
	rates  [2]rate // of requests that ran, of others
}

// rate counts events in the present second: the second in the upper bits, the count in the lower 16.
type rate struct{ v atomic.Uint64 }

func (r *rate) allow(now state.Instant) bool {
	const countBits = 16
	second := uint64(now/state.Instant(time.Second)) + 1
	for {
		v := r.v.Load()
		n := uint64(0)
		if v>>countBits == second {
			n = v & (1<<countBits - 1)
		}
		if n >= MaxDecisionRate {
			return false
		}
		if r.v.CompareAndSwap(v, second<<countBits|(n+1)) {
			return true
		}
	}
}

// decide keeps the decision of a request, unless the rate is used up.
func (r *Recorder) decide(q *Request, o Outcome, whole time.Duration, now state.Instant) {
	kind := 0
	if o != OutcomeRan {
		kind = 1
	}
	if !r.ring.rates[kind].allow(now) {
		return
	}
	seq := r.ring.next.Add(1)
	pl := &r.ring.places[seq%MaxDecisions]
	if !pl.busy.CompareAndSwap(false, true) {
		r.Stats.DecisionsBusy.Add(1)
		return
	}
	d := &pl.d
	*d = decision{
		seq: seq, at: q.start, key: q.key, revision: q.snapshot.Config.Revision, region: q.region, backend: q.backend,
		attempts: q.attempts, outcome: o, status: q.status, firstByte: q.firstByte, whole: whole,
	}
	d.refused = copy(d.refusals[:], q.refusals)
	d.consider(q)
	pl.busy.Store(false)
	r.Stats.DecisionsKept.Add(1)
}

// consider notes the candidates. The order is a pure function of the snapshot that the request used.
func (d *decision) consider(q *Request) {
	var targets [steering.MaxTargets]admission.Target
	list, _ := steering.Regions(q.snapshot, q.key.customer, q.key.service, targets[:0])
	for i := range list {
		c := &d.candidates[d.count]
		d.count++
		c.region = list[i].Region
		l, ok := q.snapshot.Loads[c.region]
		if !ok {
			continue
		}
		c.known, c.regionRunning, c.limit, c.age = true, l.Running, l.MaxRunning, q.start.Sub(l.ReportedAt)
		for j := range l.Services {
			if sv := &l.Services[j]; sv.Service == q.key.service {
				c.running, c.queued, c.slots = sv.Running, sv.Queued, sv.Slots
			}
		}
	}
}

// Candidate is a region that a decision considered. The load figures are those of the service, as the region's home last
// reported them; AgeMs is negative when it had not.
type Candidate struct {
	Region        state.RegionName `json:"region"`
	Running       int              `json:"running"`
	Queued        int              `json:"queued"`
	Slots         int              `json:"slots"`
	RegionRunning int              `json:"region_running"`
	RegionLimit   int              `json:"region_limit"`
	AgeMs         float64          `json:"age_ms"`
}

// Decision explains where a request went and why.
type Decision struct {
	Time        time.Time          `json:"time"`
	Seq         uint64             `json:"seq"`
	Customer    state.CustomerName `json:"customer"`
	Service     state.ServiceName  `json:"service"`
	Revision    state.Revision     `json:"revision"`
	Candidates  []Candidate        `json:"candidates"` // in the order of preference
	Refusals    []message.Refusal  `json:"refusals"`   // limits and failures that ended attempts, in order
	Region      state.RegionName   `json:"region"`     // chosen; empty when no grant was given
	Backend     state.BackendName  `json:"backend"`
	Attempts    int                `json:"attempts"` // grants used
	Outcome     string             `json:"outcome"`
	Status      int                `json:"status"`
	FirstByteMs float64            `json:"first_byte_ms"`
	WholeMs     float64            `json:"whole_answer_ms"`
}

// Decisions returns the kept decisions, the newest first. An empty customer or service matches all.
func (r *Recorder) Decisions(customer state.CustomerName, service state.ServiceName) []Decision {
	out := []Decision{}
	wall, now := time.Now(), r.clock()
	newest := r.ring.next.Load()
	for i := uint64(0); i < MaxDecisions && i < newest; i++ {
		pl := &r.ring.places[(newest-i)%MaxDecisions]
		if !pl.busy.CompareAndSwap(false, true) {
			continue // being written
		}
		d := pl.d
		pl.busy.Store(false)
		matches := (customer == "" || customer == d.key.customer) && (service == "" || service == d.key.service)
		if d.seq != newest-i || !matches {
			continue
		}
		out = append(out, d.export(wall.Add(d.at.Sub(now))))
	}
	return out
}

func (d *decision) export(at time.Time) Decision {
	e := Decision{
		Time: at, Seq: d.seq, Customer: d.key.customer, Service: d.key.service, Revision: d.revision, Candidates: []Candidate{},
		Refusals: append([]message.Refusal{}, d.refusals[:d.refused]...), Region: d.region, Backend: d.backend, Attempts: d.attempts,
		Outcome: outcomeNames[d.outcome], Status: d.status, FirstByteMs: ms(d.firstByte), WholeMs: ms(d.whole),
	}
	for i := range d.candidates[:d.count] {
		c := &d.candidates[i]
		x := Candidate{Region: c.region, Running: c.running, Queued: c.queued, Slots: c.slots, RegionRunning: c.regionRunning, RegionLimit: c.limit, AgeMs: -1}
		if c.known {
			x.AgeMs = ms(c.age)
		}
		e.Candidates = append(e.Candidates, x)
	}
	return e
}

func ms(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}
