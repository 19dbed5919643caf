package policybench

import (
	"fmt"
	"time"
)

// Figure is one measured value and its bound.
type Figure struct {
	Name     string
	Unit     string
	Value    float64
	Bound    float64 // the largest value allowed, or the smallest when AtLeast is set
	AtLeast  bool
	Unbound  bool    // the value is only for comparison
	Baseline float64 // the same value for the reference that the bound is about; 0 when there is none
	OK       bool
}

func (f Figure) judged() Figure {
	f.OK = f.Unbound || f.Value <= f.Bound
	if f.AtLeast {
		f.OK = f.Value >= f.Bound
	}
	return f
}

// Row is one line of the comparison of policies.
type Row struct {
	Scenario  string
	Policy    string
	P50, P99  time.Duration
	WaitP99   time.Duration // without the time in which a server works on the request
	ShedShare float64
	PeakOver  int
}

// Report is the outcome of all runs.
type Report struct {
	Rows    []Row
	Figures []Figure
}

func (rep *Report) add(f Figure) { rep.Figures = append(rep.Figures, f.judged()) }

func (rep *Report) row(sc *Scenario, res *Result) Row {
	row := Row{
		Scenario: sc.Name, Policy: res.Policy, P50: res.Latency.Quantile(0.5), P99: res.Latency.Quantile(0.99), WaitP99: res.Wait.Quantile(0.99),
		ShedShare: float64(res.Shed) / float64(max(1, res.Offered)), PeakOver: res.PeakOver,
	}
	rep.Rows = append(rep.Rows, row)
	return row
}

// Measure runs every scenario. base sets the seed, the duration and the fleet.
func Measure(base Scenario) *Report {
	rep := &Report{}
	variants := []func(*Scenario){
		func(sc *Scenario) { sc.Name = "exponential" },
		func(sc *Scenario) { sc.Name, sc.Work = "heavy-tailed", HeavyTailed },
		func(sc *Scenario) { sc.Name, sc.Work = "even", Even },
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
	rep.caps(base)
	rep.isolation(base)
	rep.lending(base)
	rep.failure(base)
	return rep
}

// compare runs one scenario under every policy.
func (rep *Report) compare(sc Scenario) {
	best := rep.row(&sc, sc.run(&ideal{avoidSlow: true}))
	if sc.SlowBy > 1 {
		if other := rep.row(&sc, sc.run(&ideal{})); other.P99 < best.P99 {
			best = other
		}
	}
	home := rep.row(&sc, sc.run(&homePolicy{}))
	any := rep.row(&sc, sc.run(&random{}))
	rep.row(&sc, sc.run(&random{shed: true}))
	rep.row(&sc, sc.run(&twoChoices{age: 100 * time.Millisecond}))
	rep.row(&sc, sc.run(&twoChoices{age: 2 * time.Second}))
	own := rep.row(&sc, sc.run(&ownView{}))
	name := func(s string) string { return sc.Name + ": " + s }
	rep.add(Figure{Name: name("p99 to ideal queue"), Unit: "ratio", Value: ratio(home.P99, best.P99), Bound: 1.3, Baseline: best.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 to random"), Unit: "ratio", Value: ratio(home.P99, any.P99), Bound: 0.5, Baseline: any.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 to least requests of own instance"), Unit: "ratio", Value: ratio(home.P99, own.P99), Bound: 0.5, Baseline: own.P99.Seconds() * 1000})
	rep.add(Figure{Name: name("ideal queue's p99 to random"), Unit: "ratio", Value: ratio(best.P99, any.P99), Unbound: true})
	rep.add(Figure{Name: name("ideal queue's p99 to least requests of own instance"), Unit: "ratio", Value: ratio(best.P99, own.P99), Unbound: true})
	rep.add(Figure{Name: name("p99 of waiting to random"), Unit: "ratio", Value: ratio(home.WaitP99, any.WaitP99), Unbound: true, Baseline: any.WaitP99.Seconds() * 1000})
	rep.add(Figure{Name: name("p99 of waiting to least requests of own instance"), Unit: "ratio", Value: ratio(home.WaitP99, own.WaitP99), Unbound: true, Baseline: own.WaitP99.Seconds() * 1000})
	rep.add(Figure{Name: name("shed"), Unit: "share", Value: home.ShedShare, Bound: 0.005})
	rep.add(Figure{Name: name("requests beyond slots"), Unit: "requests", Value: float64(home.PeakOver)})
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

// caps offers twice what the region limit admits.
func (rep *Report) caps(sc Scenario) {
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

// isolation compares a customer's p99 while another one offers ten times its plan with the time when all keep to theirs.
func (rep *Report) isolation(sc Scenario) {
	sc.Name = "ten customers"
	sc.Customers = make([]Customer, 10)
	for i := range sc.Customers {
		sc.Customers[i] = Customer{Share: 10, Times: 1}
	}
	for _, p := range []struct {
		name  string
		make  func() policy
		bound float64
	}{
		{"home", func() policy { return &homePolicy{} }, 1.1},
		{"ideal queue without shares", func() policy { return &ideal{} }, 0},
	} {
		quiet := sc
		quiet.Customers = append([]Customer(nil), sc.Customers...)
		calm := quiet.run(p.make())
		busy := sc
		busy.Customers = append([]Customer(nil), sc.Customers...)
		busy.Customers[0].Times = 10
		if p.bound == 0 {
			busy.Duration = busy.Warmup + 5*time.Second // its queue grows all the time
		}
		loud := busy.run(p.make())
		worst, base := 0.0, time.Duration(0)
		for c := 1; c < len(sc.Customers); c++ {
			if x := ratio(loud.Customer[c].Quantile(0.99), calm.Customer[c].Quantile(0.99)); x > worst {
				worst, base = x, calm.Customer[c].Quantile(0.99)
			}
		}
		rep.add(Figure{
			Name: "isolation, " + p.name + ": p99 of others, one customer at 10 times its plan", Unit: "ratio",
			Value: worst, Bound: p.bound, Unbound: p.bound == 0, Baseline: base.Seconds() * 1000,
		})
		if p.bound > 0 {
			shed := 0
			for _, n := range loud.ShedBy[1:] {
				shed += n
			}
			rep.add(Figure{Name: "isolation, home: requests of others shed", Unit: "requests", Value: float64(shed)})
		}
	}
}

// lending measures how long it takes until a customer that returns runs as many requests as its guaranteed slots, while
// another one uses all that it may borrow.
func (rep *Report) lending(sc Scenario) {
	for _, long := range []bool{false, true} {
		run := sc
		run.Name = "lending"
		run.Work = HeavyTailed // the returning customer asks fast enough to fill its share in a fraction of a second
		run.Customers = []Customer{{Share: 50, Times: 3, Unlike: long}, {Share: 50, Times: 30, From: 20 * time.Second, Unlike: long}}
		run.Duration = 30 * time.Second
		p := &homePolicy{}
		probe := &shareProbe{policy: p, customer: 1, want: run.Servers * run.Slots / 2}
		res := run.run(probe)
		kind := fmt.Sprintf("requests of %v", run.Mean)
		if long {
			kind = fmt.Sprintf("requests of %v", 200*run.Mean)
		}
		rep.add(Figure{Name: "lent slots back, " + kind, Unit: "s", Value: res.FullShare.Seconds(), Bound: 1})
	}
}

// shareProbe notes when a customer first runs as many requests as it wants.
type shareProbe struct {
	policy
	customer, want int
}

func (p *shareProbe) start(r *run) {
	p.policy.start(r)
	r.every(r.Customers[p.customer].From, time.Millisecond, func() {
		if r.result.FullShare == 0 && r.active[p.customer] >= p.want*9/10 {
			r.result.FullShare = r.now - r.Customers[p.customer].From
		}
		if r.now+time.Millisecond >= r.Duration && r.result.FullShare == 0 {
			r.result.FullShare = r.Duration
		}
	})
}

// failure lets all servers fail each request for 20 s, and measures the extra work and the return.
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
	back := sc.Duration - sc.FailUntil
	first := int((sc.FailUntil - sc.Warmup) / (100 * time.Millisecond))
	for i := first; i+5 <= len(res.Good); i++ {
		sum := 0
		for _, n := range res.Good[i : i+5] {
			sum += n
		}
		if float64(sum) >= 0.95*5*perSample {
			back = time.Duration(i-first) * 100 * time.Millisecond
			break
		}
	}
	rep.add(Figure{Name: "total failure: goodput at 95% after the servers return", Unit: "s", Value: back.Seconds(), Bound: 2})
}

func retryShare(r *Result) float64 { return float64(r.Retries) / float64(max(1, r.Sent-r.Retries)) }
