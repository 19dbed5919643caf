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
	Busy      float64 // offered load as a share of all slots, when Customer.LoadFactor is 1
	DelayMin  time.Duration
	DelayMax  time.Duration // of a message between an entry instance and the home, one way
	Wait      time.Duration // max queue time at the home
	SlowBy    float64       // factor of the first server's service times; 0 means 1
	NoFigures bool          // policies get neither load figures nor latencies
	Customers []Customer
	MaxRun    int // region limit; 0 means none
	Attempts  int // max attempts of one request, at least 1
	FailFrom  time.Duration
	FailUntil time.Duration // servers fail requests between FailFrom and FailUntil
	FailShare float64       // share of requests that fail in that time
}

// Customer is a customer of a run.
type Customer struct {
	Share        float64       // guaranteed share in percent
	LoadFactor   float64       // offered load relative to an equal part of Busy
	From         time.Duration // when its requests begin
	LongRequests bool          // its requests take 200 times the mean, as downloads do
}

// Target returns the scenario of the balancing target: 20 entry instances, 20 servers with 6 slots, 80% of slots busy.
func Target() Scenario {
	return Scenario{
		Name: "normal", Seed: 1, Duration: 60 * time.Second, Warmup: 5 * time.Second,
		Entries: 20, Servers: 20, Slots: 6, Mean: 20 * time.Millisecond, Work: Exponential, Busy: 0.8,
		DelayMin: 500 * time.Microsecond, DelayMax: 1500 * time.Microsecond, Wait: time.Second,
		Customers: []Customer{{Share: 100, LoadFactor: 1}}, Attempts: 1,
	}
}

// Result holds the measurements of one run.
type Result struct {
	Policy      string
	Latency     Latencies   // of all customers
	Customer    []Latencies // of each customer
	Wait        Latencies   // the part of Latency in which no server worked on the request
	ShedBy      []int       // of each customer
	Offered     int
	Shed        int // requests that were refused, or that failed in all attempts
	Sent        int // requests that were sent to a server, including retries
	Retries     int
	PeakExcess  int           // max number of requests beyond its slots that ran or waited at one server
	Busy        []float64     // running requests relative to MaxRun, in samples 100 ms apart
	Finished    []int         // finished requests in each 100 ms
	TimeToShare time.Duration // set by shareProbe
}

// run is the state of one simulation of a scenario with a policy.
type run struct {
	sim
	Scenario
	arrivals *rand.Rand // random source of the requests; the same for all policies, so that they get the same requests
	choices  *rand.Rand // random source of everything else
	servers  []*server
	policy   policy
	active   []int // running requests of each customer
	result   Result
}

// policy chooses the server of each request.
type policy interface {
	name() string
	start(*run)
	arrive(*run, *request)
}

// run simulates the scenario with a policy.
func (sc Scenario) run(p policy) *Result {
	r := &run{
		Scenario: sc, policy: p,
		arrivals: rand.New(rand.NewPCG(sc.Seed, 1)), choices: rand.New(rand.NewPCG(sc.Seed, 2)),
		active: make([]int, len(sc.Customers)),
	}
	r.result.Policy, r.result.Customer = p.name(), make([]Latencies, len(sc.Customers))
	r.result.ShedBy = make([]int, len(sc.Customers))
	for i := range sc.Servers {
		s := &server{slots: sc.Slots, slowdown: 1}
		if i == 0 && sc.SlowBy > 0 {
			s.slowdown = sc.SlowBy
		}
		r.servers = append(r.servers, s)
	}
	p.start(r)
	for c := range sc.Customers {
		r.after(sc.Customers[c].From, func() { r.nextArrival(c) })
	}
	if sc.FailUntil > 0 {
		r.after(sc.FailFrom, func() { r.setFailing(sc.FailShare) })
		r.after(sc.FailUntil, func() { r.setFailing(0) })
	}
	r.every(sc.Warmup, 100*time.Millisecond, r.sample)
	r.runUntil(sc.Duration)
	for _, s := range r.servers {
		r.result.PeakExcess = max(r.result.PeakExcess, s.peak-s.slots)
	}
	return &r.result
}

func (r *run) setFailing(share float64) {
	for _, s := range r.servers {
		s.failShare = share
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
	r.result.Finished = append(r.result.Finished, 0)
}

// nextArrival lets one request of a customer arrive and schedules the one after it.
func (r *run) nextArrival(c int) {
	cu := r.Customers[c]
	mean := r.Mean
	if cu.LongRequests {
		mean *= 200
	}
	if cu.LoadFactor <= 0 {
		return
	}
	perSecond := r.Busy * float64(r.Servers*r.Slots) / mean.Seconds() * cu.LoadFactor / float64(len(r.Customers))
	rq := &request{
		arrived: r.now, work: time.Duration(r.Work(r.arrivals) * float64(mean)), entry: r.arrivals.IntN(r.Entries), customer: c,
	}
	gap := time.Duration(r.arrivals.ExpFloat64() / perSecond * float64(time.Second))
	r.after(gap, func() { r.nextArrival(c) })
	if r.now >= r.Warmup {
		r.result.Offered++
	}
	r.policy.arrive(r, rq)
}

// send sends a request to a server. done is called when it ends, before it is measured. A failed request is retried.
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
	succeeds := s.failShare == 0 || r.choices.Float64() >= s.failShare
	s.serve(&r.sim, rq, succeeds, func(ok bool, took time.Duration) {
		r.active[rq.customer]--
		done(ok, took)
		switch {
		case ok:
			r.finished(rq, took)
		case rq.attempts < r.Attempts:
			rq.failedOn = append(rq.failedOn, i)
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
	if n := len(r.result.Finished); n > 0 {
		r.result.Finished[n-1]++
	}
}

func (r *run) shed(rq *request) {
	if rq.arrived >= r.Warmup {
		r.result.Shed++
		r.result.ShedBy[rq.customer]++
	}
}
