package observe

import (
	"sync/atomic"
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/coordination/steering"
	"azurebridge/state"
)

// Bounds of the recorded decisions.
const (
	MaxDecisions    = 256
	MaxDecisionRate = 64 // recorded per second; counted separately for requests that ran and for all others
)

// candidate is a region that a request could use, with the load figures by which the regions were ordered.
type candidate struct {
	region                 state.RegionName
	known                  bool // the snapshot has the region's load
	running, queued, slots int
	regionRunning, limit   int
	age                    time.Duration
}

// decision is a recorded steering decision. It holds no pointers into the request, so that recording it allocates nothing.
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
	firstByte  time.Duration // from arrival to the first byte of the answer
	whole      time.Duration // from arrival to the end of the answer
}

// entry holds one decision. The goroutine that sets busy owns it until it clears busy; others skip the entry and do not wait.
type entry struct {
	busy atomic.Bool
	d    decision
}

// ring holds the last MaxDecisions decisions.
type ring struct {
	next    atomic.Uint64
	entries [MaxDecisions]entry
	rates   [2]rate // of requests that ran, and of all others
}

// rate counts events in the current second. The upper 48 bits hold the second, the lower 16 bits the count.
type rate struct{ v atomic.Uint64 }

// allow counts an event and reports whether it is within MaxDecisionRate.
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

// recordDecision records the decision of a request, unless MaxDecisionRate is reached or the ring's entry is in use.
func (r *Recorder) recordDecision(q *Request, o Outcome, whole time.Duration, now state.Instant) {
	kind := 0
	if o != OutcomeRan {
		kind = 1
	}
	if !r.ring.rates[kind].allow(now) {
		return
	}
	seq := r.ring.next.Add(1)
	e := &r.ring.entries[seq%MaxDecisions]
	if !e.busy.CompareAndSwap(false, true) {
		r.Stats.DecisionsBusy.Add(1)
		return
	}
	d := &e.d
	*d = decision{
		seq: seq, at: q.start, key: q.key, revision: q.snapshot.Config.Revision, region: q.region, backend: q.backend,
		attempts: q.attempts, outcome: o, status: q.status, firstByte: q.firstByte, whole: whole,
	}
	d.refused = copy(d.refusals[:], q.refusals)
	d.setCandidates(q)
	e.busy.Store(false)
	r.Stats.DecisionsKept.Add(1)
}

// setCandidates records the candidates in order of preference. It computes the order again, which gives the same result
// because the order is a pure function of the snapshot that the request used.
func (d *decision) setCandidates(q *Request) {
	var targets [steering.MaxTargets]admission.Target
	list, _ := steering.Regions(q.snapshot, q.key.customer, q.key.service, targets[:0])
	for i := range list {
		c := &d.candidates[d.count]
		d.count++
		c.region = list[i].Region
		load, ok := q.snapshot.Loads[c.region]
		if !ok {
			continue
		}
		c.known, c.regionRunning, c.limit, c.age = true, load.Running, load.MaxRunning, q.start.Sub(load.ReportedAt)
		for j := range load.Services {
			if sl := &load.Services[j]; sl.Service == q.key.service {
				c.running, c.queued, c.slots = sl.Running, sl.Queued, sl.Slots
			}
		}
	}
}

// Candidate is a region that a decision considered. Running, Queued and Slots are those of the service, as last reported by
// the region's home (the instance that allocates its slots). AgeMs is the age of that report, or -1 when there is none.
type Candidate struct {
	Region        state.RegionName `json:"region"`
	Running       int              `json:"running"`
	Queued        int              `json:"queued"`
	Slots         int              `json:"slots"`
	RegionRunning int              `json:"region_running"`
	RegionLimit   int              `json:"region_limit"`
	AgeMs         float64          `json:"age_ms"`
}

// Decision explains to which region and backend server a request was sent, and why.
type Decision struct {
	Time        time.Time          `json:"time"`
	Seq         uint64             `json:"seq"`
	Customer    state.CustomerName `json:"customer"`
	Service     state.ServiceName  `json:"service"`
	Revision    state.Revision     `json:"revision"`
	Candidates  []Candidate        `json:"candidates"` // in the order of preference
	Refusals    []message.Refusal  `json:"refusals"`   // limits and failures that ended attempts, in order
	Region      state.RegionName   `json:"region"`     // chosen; empty when no slot was granted
	Backend     state.BackendName  `json:"backend"`
	Attempts    int                `json:"attempts"` // grants used
	Outcome     string             `json:"outcome"`
	Status      int                `json:"status"`
	FirstByteMs float64            `json:"first_byte_ms"`
	WholeMs     float64            `json:"whole_answer_ms"`
}

// Decisions returns the recorded decisions, newest first. An empty customer or service matches all.
func (r *Recorder) Decisions(customer state.CustomerName, service state.ServiceName) []Decision {
	out := []Decision{}
	wall, now := time.Now(), r.clock()
	newest := r.ring.next.Load()
	for i := uint64(0); i < MaxDecisions && i < newest; i++ {
		e := &r.ring.entries[(newest-i)%MaxDecisions]
		if !e.busy.CompareAndSwap(false, true) {
			continue // in use by another goroutine
		}
		d := e.d
		e.busy.Store(false)
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

// ms returns a duration in milliseconds, rounded to microseconds.
func ms(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}
