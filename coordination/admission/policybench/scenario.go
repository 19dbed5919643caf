package policybench

import (
	"math/rand/v2"
	"time"
)

// Scenario is the load and the fleet of one run.
type Scenario struct {
	Name      string
	Seed      uint64
	Duration  time.Duration
	Warmup    time.Duration // requests that arrive earlier are not measured
	Entries   int
	Servers   int
	Slots     int           // per server
	Mean      time.Duration // mean service time
	Work      Work
	Busy      float64 // offered load as a share of all slots, if the customers are within their plans
	DelayMin  time.Duration
	DelayMax  time.Duration // of a message between an entry instance and the home, one way
	Wait      time.Duration // longest time to queue at the home
	SlowBy    float64       // factor of the first server's service times; 0 means 1
	NoFigures bool          // neither load figures nor latencies arrive
	Customers []Customer
	MaxRun    int // region limit; 0 means none
	Attempts  int // tries of one request, at least 1
	FailFrom  time.Duration
	FailUntil time.Duration // servers fail requests from FailFrom until then
	FailShare float64       // share of requests that fail in that time
}

// Customer is a customer of a run.
type Customer struct {
	Share  float64       // guaranteed share in percent
	Times  float64       // offered load relative to an equal part of Busy
	From   time.Duration // when its requests begin
	Unlike bool          // its requests need 200 times the mean, as downloads do
}

// Target is the scenario of the balancing target: 20 entry instances, 20 servers with 6 slots, 80% of slots busy.
func Target() Scenario {
	return Scenario{
		Name: "normal", Seed: 1, Duration: 60 * time.Second, Warmup: 5 * time.Second,
		Entries: 20, Servers: 20, Slots: 6, Mean: 20 * time.Millisecond, Work: Exponential, Busy: 0.8,
		DelayMin: 500 * time.Microsecond, DelayMax: 1500 * time.Microsecond, Wait: time.Second,
		Customers: []Customer{{Share: 100, Times: 1}}, Attempts: 1,
	}
}

// Result is what one run measured.
type Result struct {
	Policy    string
	Latency   Latencies   // of all customers
	Customer  []Latencies // of each customer
	Wait      Latencies   // the part of Latency in which no server worked on the request
	ShedBy    []int       // of each customer
	Offered   int
	Shed      int // requests that no server ran, or that were refused
	Sent      int // requests that were sent to a server, with retries
	Retries   int
	PeakOver  int       // most requests that ran or waited at one server, beyond its slots
	Busy      []float64 // share of MaxRun that ran, in samples 100 ms apart
	Good      []int     // finished requests in each 100 ms
	FullShare time.Duration
}

// run is one run of a scenario under a policy.
type run struct {
	sim
	Scenario
	arrivals *rand.Rand // the same for all policies, so that they get the same requests
	choices  *rand.Rand
	servers  []*server
	policy   policy
	active   []int // running requests of each customer
	result   Result
}

// policy decides where a request runs.
type policy interface {
	name() string
	start(*run)
	arrive(*run, *request)
}

// Run runs a scenario under a policy.
func (sc Scenario) run(p policy) *Result {
	r := &run{
		Scenario: sc, policy: p,
		arrivals: rand.New(rand.NewPCG(sc.Seed, 1)), choices: rand.New(rand.NewPCG(sc.Seed, 2)),
		active: make([]int, len(sc.Customers)),
	}
	r.result.Policy, r.result.Customer = p.name(), make([]Latencies, len(sc.Customers))
	r.result.ShedBy = make([]int, len(sc.Customers))
	for i := range sc.Servers {
		s := &server{slots: sc.Slots, factor: 1}
		if i == 0 && sc.SlowBy > 0 {
			s.factor = sc.SlowBy
		}
		r.servers = append(r.servers, s)
	}
	p.start(r)
	for c := range sc.Customers {
		r.after(sc.Customers[c].From, func() { r.next(c) })
	}
	if sc.FailUntil > 0 {
		r.after(sc.FailFrom, func() { r.setFailing(sc.FailShare) })
		r.after(sc.FailUntil, func() { r.setFailing(0) })
	}
	r.every(sc.Warmup, 100*time.Millisecond, r.sample)
	r.runUntil(sc.Duration)
	for _, s := range r.servers {
		r.result.PeakOver = max(r.result.PeakOver, s.peak-s.slots)
	}
	return &r.result
}

func (r *run) setFailing(share float64) {
	for _, s := range r.servers {
		s.failing = share
	}
}

func (r *run) sample() {
	n := 0
	for _, s := range r.servers {
		n += s.running
	}
	if r.MaxRun > 0 {
		r.result.Busy = append(r.result.Busy, float64(n)/float64(r.MaxRun))
	}
	r.result.Good = append(r.result.Good, 0)
}

// next lets one request of a customer arrive and plans the one after it.
func (r *run) next(c int) {
	cu := r.Customers[c]
	mean := r.Mean
	if cu.Unlike {
		mean *= 200
	}
	if cu.Times <= 0 {
		return
	}
	perSecond := r.Busy * float64(r.Servers*r.Slots) / mean.Seconds() * cu.Times / float64(len(r.Customers))
	rq := &request{
		arrived: r.now, work: time.Duration(r.Work(r.arrivals) * float64(mean)), entry: r.arrivals.IntN(r.Entries), customer: c,
	}
	gap := time.Duration(r.arrivals.ExpFloat64() / perSecond * float64(time.Second))
	r.after(gap, func() { r.next(c) })
	if r.now >= r.Warmup {
		r.result.Offered++
	}
	r.policy.arrive(r, rq)
}

// send sends a request to a server. done is called when it ends, before it is measured.
func (r *run) send(rq *request, i int, done func(ok bool, took time.Duration)) {
	rq.attempts++
	if rq.arrived >= r.Warmup {
		r.result.Sent++
		if rq.attempts > 1 {
			r.result.Retries++
		}
	}
	r.active[rq.customer]++
	s := r.servers[i]
	works := s.failing == 0 || r.choices.Float64() >= s.failing
	s.serve(&r.sim, rq, works, func(ok bool, took time.Duration) {
		r.active[rq.customer]--
		done(ok, took)
		switch {
		case ok:
			r.finished(rq, took)
		case rq.attempts < r.Attempts:
			rq.tried = append(rq.tried, i)
			r.policy.arrive(r, rq)
		default:
			r.shed(rq)
		}
	})
}

func (r *run) finished(rq *request, took time.Duration) {
	if rq.arrived < r.Warmup {
		return
	}
	d := r.now - rq.arrived
	r.result.Latency = append(r.result.Latency, d)
	r.result.Wait = append(r.result.Wait, d-took)
	r.result.Customer[rq.customer] = append(r.result.Customer[rq.customer], d)
	if n := len(r.result.Good); n > 0 {
		r.result.Good[n-1]++
	}
}

func (r *run) shed(rq *request) {
	if rq.arrived >= r.Warmup {
		r.result.Shed++
		r.result.ShedBy[rq.customer]++
	}
}
