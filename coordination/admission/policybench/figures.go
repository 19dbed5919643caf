package policybench

import (
	"fmt"
	"time"
)

// Figure is one measured value and its bound.
type Figure struct {
	Name      string
	Unit      string
	Value     float64
	Bound     float64 // max allowed value, or min with AtLeast
	AtLeast   bool
	Unbounded bool    // the value has no bound and is only for comparison
	Baseline  float64 // the value of the policy that the bound refers to; 0 when there is none
	OK        bool
}

func (f Figure) evaluated() Figure {
	f.OK = f.Unbounded || f.Value <= f.Bound
	if f.AtLeast {
		f.OK = f.Value >= f.Bound
	}
	return f
}

// Row is one line of the comparison of policies.
type Row struct {
	Scenario   string
	Policy     string
	P50, P99   time.Duration
	WaitP99    time.Duration // of the latency without the service time
	ShedShare  float64
	PeakExcess int
}

// Report holds the results of all runs.
type Report struct {
	Rows    []Row
	Figures []Figure
}

func (rep *Report) add(f Figure) { rep.Figures = append(rep.Figures, f.evaluated()) }

func (rep *Report) row(sc *Scenario, res *Result) Row {
	row := Row{
		Scenario: sc.Name, Policy: res.Policy, P50: res.Latency.Quantile(0.5), P99: res.Latency.Quantile(0.99), WaitP99: res.Wait.Quantile(0.99),
		ShedShare: float64(res.Shed) / float64(max(1, res.Offered)), PeakExcess: res.PeakExcess,
	}
	rep.Rows = append(rep.Rows, row)
	return row
}

// Measure runs all scenarios. base sets the seed, the duration and the fleet.
func Measure(base Scenario) *Report {
	rep := &Report{}
	variants := []func(*Scenario){
		func(sc *Scenario) { sc.Name = "exponential" },
		func(sc *Scenario) { sc.Name, sc.Work = "heavy-tailed", HeavyTailed },
		func(sc *Scenario) { sc.Name, sc.Work = "even", Uniform },
		func(sc *Scenario) { sc.Name, sc.SlowBy = "one server 10 times slower", 10 },
		func(sc *Scenario) {
			sc.Name, sc.SlowBy, sc.Work = "heavy-tailed, one server 10 times slower", 10, HeavyTailed
		},
		func(sc *Scenario) { sc.Name, sc.NoFigures = "no figures", true },
	}
	for _, change := range variants {
		sc := base
		change(&sc)
		rep.compare(sc)
	}
	rep.regionLimit(base)
	rep.isolation(base)
	rep.lending(base)
	rep.failure(base)
	return rep
}

// compare runs one scenario with every policy.
func (rep *Report) compare(sc Scenario) {
	best := rep.row(&sc, sc.run(&idealQueue{avoidSlow: true}))
	if sc.SlowBy > 1 {
		if other := rep.row(&sc, sc.run(&idealQueue{})); other.P99 < best.P99 {
			best = other
		}
	}
	home := rep.row(&sc, sc.run(&homePolicy{}))
	randomRow := rep.row(&sc, sc.run(&random{}))
	rep.row(&sc, sc.run(&random{shed: true}))
	rep.row(&sc, sc.run(&twoChoices{maxAge: 100 * time.Millisecond}))
	rep.row(&sc, sc.run(&twoChoices{maxAge: 2 * time.Second}))
	own := rep.row(&sc, sc.run(&leastOwnRequests{}))
	name := func(s string) string { return sc.Name + ": " + s }
	rep.add(Figure{Name: name("p99 to ideal queue"), Unit: "ratio", Value: ratio(home.P99, best.P99), Bound: 1.3, Baseline: best.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 to random"), Unit: "ratio", Value: ratio(home.P99, randomRow.P99), Bound: 0.5, Baseline: randomRow.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 to least requests of own instance"), Unit: "ratio", Value: ratio(home.P99, own.P99), Bound: 0.5, Baseline: own.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("ideal queue's p99 to random"), Unit: "ratio", Value: ratio(best.P99, randomRow.P99), Unbounded: true})
	rep.add(Figure{Name: name("ideal queue's p99 to least requests of own instance"), Unit: "ratio", Value: ratio(best.P99, own.P99), Unbounded: true})
	rep.add(Figure{Name: name("p99 of waiting to random"), Unit: "ratio", Value: ratio(home.WaitP99, randomRow.WaitP99), Unbounded: true, Baseline: randomRow.WaitP99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 of waiting to least requests of own instance"), Unit: "ratio", Value: ratio(home.WaitP99, own.WaitP99), Unbounded: true, Baseline: own.WaitP99.Seconds() * 1000})
	rep.add(Figure{Name: name("shed"), Unit: "share", Value: home.ShedShare, Bound: 0.005})
	rep.add(Figure{Name: name("requests beyond slots"), Unit: "requests", Value: float64(home.PeakExcess)})
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

// regionLimit measures the use of a region limit of half the slots when twice as much is offered.
func (rep *Report) regionLimit(sc Scenario) {
	sc.Name, sc.MaxRun, sc.Wait = "region limit at half of the slots", sc.Servers*sc.Slots/2, 200*time.Millisecond
	sc.Busy = 1
	res := sc.run(&homePolicy{})
	sum, peak := 0.0, 0.0
	for _, b := range res.Busy {
		sum += b
		peak = max(peak, b)
	}
	rep.add(Figure{Name: "region limit: mean use", Unit: "share", Value: sum / float64(len(res.Busy)), Bound: 0.9, AtLeast: true})
	rep.add(Figure{Name: "region limit: highest use in 100 ms samples", Unit: "share", Value: peak, Bound: 1})
}

// isolation measures by how much the p99 of customers within their plans rises when another one offers ten times its
// plan.
func (rep *Report) isolation(sc Scenario) {
	sc.Name = "ten customers"
	sc.Customers = make([]Customer, 10)
	for i := range sc.Customers {
		sc.Customers[i] = Customer{Share: 10, LoadFactor: 1}
	}
	for _, p := range []struct {
		name  string
		make  func() policy
		bound float64
	}{
		{"home", func() policy { return &homePolicy{} }, 1.1},
		{"ideal queue without shares", func() policy { return &idealQueue{} }, 0},
	} {
		normal := sc
		normal.Customers = append([]Customer(nil), sc.Customers...)
		normalResult := normal.run(p.make())
		overload := sc
		overload.Customers = append([]Customer(nil), sc.Customers...)
		overload.Customers[0].LoadFactor = 10
		if p.bound == 0 {
			overload.Duration = overload.Warmup + 5*time.Second // its queue grows without bound
		}
		overloadResult := overload.run(p.make())
		worst, base := 0.0, time.Duration(0)
		for c := 1; c < len(sc.Customers); c++ {
			if x := ratio(overloadResult.Customer[c].Quantile(0.99), normalResult.Customer[c].Quantile(0.99)); x > worst {
				worst, base = x, normalResult.Customer[c].Quantile(0.99)
			}
		}
		rep.add(Figure{
			Name: "isolation, " + p.name + ": p99 of others, one customer at 10 times its plan", Unit: "ratio",
			Value: worst, Bound: p.bound, Unbounded: p.bound == 0, Baseline: base.Seconds() * 1000,
		})
		if p.bound > 0 {
			shed := 0
			for _, n := range overloadResult.ShedBy[1:] {
				shed += n
			}
			rep.add(Figure{Name: "isolation, home: requests of others shed", Unit: "requests", Value: float64(shed)})
		}
	}
}

// lending measures how long a customer that was idle needs to get its guaranteed slots back, while another customer has
// borrowed them.
func (rep *Report) lending(sc Scenario) {
	for _, long := range []bool{false, true} {
		run := sc
		run.Name = "lending"
		run.Work = HeavyTailed // the returning customer asks fast enough to fill its share in a fraction of a second
		run.Customers = []Customer{{Share: 50, LoadFactor: 3, LongRequests: long}, {Share: 50, LoadFactor: 30, From: 20 * time.Second, LongRequests: long}}
		run.Duration = 30 * time.Second
		p := &homePolicy{}
		probe := &shareProbe{policy: p, customer: 1, want: run.Servers * run.Slots / 2}
		res := run.run(probe)
		kind := fmt.Sprintf("requests of %v", run.Mean)
		if long {
			kind = fmt.Sprintf("requests of %v", 200*run.Mean)
		}
		rep.add(Figure{Name: "lent slots back, " + kind, Unit: "s", Value: res.TimeToShare.Seconds(), Bound: 1})
	}
}

// shareProbe records how long after its first request a customer runs 90% of the wanted number of requests.
type shareProbe struct {
	policy
	customer, want int
}

func (p *shareProbe) start(r *run) {
	p.policy.start(r)
	r.every(r.Customers[p.customer].From, time.Millisecond, func() {
		if r.result.TimeToShare == 0 && r.active[p.customer] >= p.want*9/10 {
			r.result.TimeToShare = r.now - r.Customers[p.customer].From
		}
		if r.now+time.Millisecond >= r.Duration && r.result.TimeToShare == 0 {
			r.result.TimeToShare = r.Duration
		}
	})
}

// failure measures the share of retries while servers fail requests, and the recovery after a total failure of 20 s.
func (rep *Report) failure(sc Scenario) {
	sc.Name, sc.Attempts = "all servers fail", 3
	sc.FailShare = 1
	sc.FailFrom, sc.FailUntil = 10*time.Second, 30*time.Second
	sc.Busy = 0.6
	part := sc
	part.FailFrom, part.Warmup, part.Duration = 0, time.Second, 30*time.Second
	naive, home := part.run(&random{}), part.run(&homePolicy{})
	rep.add(Figure{
		Name: "total failure: retries to first attempts", Unit: "share", Value: retryShare(home), Bound: 0.1,
		Baseline: retryShare(naive),
	})
	part.FailShare = 0.5
	naive, home = part.run(&random{}), part.run(&homePolicy{})
	rep.add(Figure{
		Name: "half of all requests fail: retries to first attempts", Unit: "share", Value: retryShare(home), Bound: 0.1,
		Baseline: retryShare(naive),
	})
	res := sc.run(&homePolicy{})
	perSample := sc.Busy * float64(sc.Servers*sc.Slots) / sc.Mean.Seconds() / 10
	recovery := sc.Duration - sc.FailUntil
	first := int((sc.FailUntil - sc.Warmup) / (100 * time.Millisecond))
	for i := first; i+5 <= len(res.Finished); i++ {
		sum := 0
		for _, n := range res.Finished[i : i+5] {
			sum += n
		}
		if float64(sum) >= 0.95*5*perSample {
			recovery = time.Duration(i-first) * 100 * time.Millisecond
			break
		}
	}
	rep.add(Figure{Name: "total failure: goodput at 95% after the servers return", Unit: "s", Value: recovery.Seconds(), Bound: 2})
}

func retryShare(r *Result) float64 { return float64(r.Retries) / float64(max(1, r.Sent-r.Retries)) }
