package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// replayKind is one kind of requests with its value.
type replayKind struct {
	rate      float64 // requests/s
	work      time.Duration
	target    time.Duration
	deadline  time.Duration
	lateValue float64 // of a success after the target; one within the target has the value 1
	priority  int
	attempts  int
}

// replay is a deployment under load on a simulated clock, without a network.
type replay struct {
	// Inputs.
	enabled     bool
	instances   int
	regions     []int // servers of each region
	slots       int
	queue       int // requests that wait at a server before it rejects
	cached      int // objects that a server remembers
	objects     int
	skew        float64 // exponent of the popularity of objects
	kinds       []replayKind
	slowShare   float64 // of requests, that take slowFactor times as long
	slowFactor  float64
	slowServers float64 // share of the time in which a server works at slowness
	slowness    float64
	wave        float64 // by which the load of a region rises and falls
	far         time.Duration
	length      time.Duration
	rateAt      func(r *replay, kind int) float64 // factor of a kind's rate now; nil for 1
	regionAt    func(r *replay) int               // region of the next caller; nil for the wave
	onRefused   func(r *replay, c *replayCall)    // nil: callers return once, at the time that they are told
	rejecting   func(r *replay, server int) bool  // nil: servers reject only what exceeds their queue
	counted     func(r *replay) bool              // whether a request sent now is counted; nil for all
	customers   []float64                         // weights of the customers that send
	// customerPriority holds the priorities of the customers; nil for those of the kinds.
	customerPriority []int

	random  *rand.Rand
	now     state.Instant
	events  replayEvents
	number  int
	zipf    []float64
	servers []*replayServer
	fronts  []*replayFront
	table   *routing.Table

	total  []replayCount // by kind
	byCust []replayCount
	hits   int
	runs   int
}

// replayCount sums up the requests of one kind.
type replayCount struct {
	sent, served, inTime int
	value                float64
	refused              map[Reason]int
}

func (c *replayCount) add(d replayCount) {
	c.sent, c.served, c.inTime, c.value = c.sent+d.sent, c.served+d.served, c.inTime+d.inTime, c.value+d.value
	if c.refused == nil {
		c.refused = make(map[Reason]int)
	}
	for reason, n := range d.refused {
		c.refused[reason] += n
	}
}

// share is the share of requests that were served.
func (c replayCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// mean is the mean value of a request.
func (c replayCount) mean() float64 { return c.value / float64(max(1, c.sent)) }

type replayServer struct {
	region  int
	running int
	waiting []*replayRun
	cache   []int // most recently used last
	slow    bool
}

type replayFront struct {
	region int
	view   *catalog.View
}

// replayCall is a request of a caller.
type replayCall struct {
	kind, object, customer int
	front                  *replayFront
	sent                   state.Instant
	returned               bool // the caller sends it for the second time
	uncounted              bool
	tried                  []state.BackendName
	tries                  int
}

// replayRun is a call at a server.
type replayRun struct {
	call   *replayCall
	server *catalog.Server
	index  int
	kind   catalog.WorkKind
	start  state.Instant
}

type replayEvent struct {
	at     state.Instant
	number int
	run    func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (r *replay) after(d time.Duration, run func()) {
	r.number++
	heap.Push(&r.events, replayEvent{r.now.Add(d), r.number, run})
}

// play runs the load and returns the counts of all kinds together.
func (r *replay) play(seed uint64) replayCount {
	r.random = rand.New(rand.NewPCG(seed, 7))
	r.now = state.Instant(time.Hour)
	if len(r.customers) == 0 {
		r.customers = []float64{1}
	}
	r.regions = slices.Clone(r.regions)
	r.total, r.byCust = make([]replayCount, len(r.kinds)), make([]replayCount, len(r.customers))
	r.build()
	sum := 0.0
	for i := range r.objects {
		sum += math.Pow(float64(i+1), -r.skew)
		r.zipf = append(r.zipf, sum)
	}
	if r.slowServers > 0 {
		r.changeSpeeds()
	}
	end := r.now.Add(r.length)
	for k := range r.kinds {
		r.arrive(k, end)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.run()
	}
	return r.all()
}

func (r *replay) all() (out replayCount) {
	for _, c := range r.total {
		out.add(c)
	}
	return out
}

func (r *replay) build() {
	r.table = &routing.Table{}
	for k, kind := range r.kinds {
		r.table.Routes = append(r.table.Routes, routing.Route{
			Name: fmt.Sprint("kind-", k), Idempotent: true, Affinity: true, TargetLatency: kind.target, Timeout: kind.deadline,
			Priority: kind.priority, MaxAttempts: kind.attempts, Parts: []routing.Part{{Service: "search", Weight: 1}},
		})
	}
	r.table.Index()
	for region, n := range r.regions {
		for range n {
			r.servers = append(r.servers, &replayServer{region: region})
		}
	}
	for i := range r.instances {
		f := &replayFront{region: i % len(r.regions)}
		s := &catalog.Service{Counters: &catalog.Counters{}}
		for region := range r.regions {
			d := &catalog.Distance{}
			d.Record(r.distance(f.region, region))
			s.Regions = append(s.Regions, catalog.Region{Name: regionName(region), Distance: d})
		}
		for n, m := range r.servers {
			s.Servers = append(s.Servers, &catalog.Server{
				Backend: routing.Backend{Name: state.BackendName(fmt.Sprintf("s-%03d", n)), Service: "search", Region: regionName(m.region), Slots: r.slots},
				Gauge:   &catalog.Gauge{}, Distance: s.Regions[m.region].Distance,
			})
		}
		f.view = &catalog.View{Table: r.table, Services: map[state.ServiceName]*catalog.Service{"search": s}, Instances: r.instances}
		r.fronts = append(r.fronts, f)
	}
}

func regionName(n int) state.RegionName { return state.RegionName(fmt.Sprint("region-", n)) }

// distance is the round trip between regions.
func (r *replay) distance(a, b int) time.Duration {
	if a == b {
		return 2 * time.Millisecond
	}
	return 2 * r.far
}

// changeSpeeds draws the servers that work slowly for the next 600 ms.
func (r *replay) changeSpeeds() {
	for _, m := range r.servers {
		m.slow = r.random.Float64() < r.slowServers
	}
	if r.now.Sub(state.Instant(time.Hour)) < r.length {
		r.after(600*time.Millisecond, r.changeSpeeds)
	}
}

// arrive sends the requests of a kind until end.
func (r *replay) arrive(kind int, end state.Instant) {
	if !r.now.Before(end) {
		return
	}
	factor := 1.0
	if r.rateAt != nil {
		factor = r.rateAt(r, kind)
	}
	gap := r.random.ExpFloat64() / (r.kinds[kind].rate * factor)
	r.after(time.Duration(gap*float64(time.Second)), func() {
		r.send(&replayCall{
			kind: kind, object: pickWeighted(r.random, r.zipf), customer: r.pickCustomer(), front: r.pickFront(), sent: r.now,
			uncounted: r.counted != nil && !r.counted(r),
		})
		r.arrive(kind, end)
	})
}

// pickWeighted draws an index by the running sums of weights.
func pickWeighted(random *rand.Rand, sums []float64) int {
	x := random.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return len(sums) - 1
}

func (r *replay) pickCustomer() int {
	sums := make([]float64, len(r.customers))
	sum := 0.0
	for i, w := range r.customers {
		sum += w
		sums[i] = sum
	}
	return pickWeighted(r.random, sums)
}

func (r *replay) pickFront() *replayFront {
	var region int
	if r.regionAt != nil {
		region = r.regionAt(r)
	} else {
		sums, sum := make([]float64, len(r.regions)), 0.0
		for i := range r.regions {
			phase := float64(r.now)/float64(36*time.Second) + float64(i)/float64(len(r.regions))
			sum += 1 + r.wave*math.Sin(2*math.Pi*phase)
			sums[i] = sum
		}
		region = pickWeighted(r.random, sums)
	}
	n := (r.instances + len(r.regions) - 1 - region) / len(r.regions)
	return r.fronts[region+len(r.regions)*r.random.IntN(n)]
}

func (r *replay) send(c *replayCall) {
	if !c.returned && !c.uncounted {
		r.total[c.kind].sent++
		r.byCust[c.customer].sent++
	}
	r.try(c)
}

func (r *replay) request(c *replayCall) *Request {
	route := &r.table.Routes[c.kind]
	return &Request{
		Service: "search", Object: fmt.Sprint("object-", c.object), Route: route, Region: regionName(c.front.region), Tried: c.tried,
		TimeLeft: route.Timeout - r.now.Sub(c.sent), Random: r.random.Float64,
		OverloadControl: r.enabled, Priority: r.priority(c), Retry: c.tries > 0, Waited: r.now.Sub(c.sent),
	}
}

// priority is the effective priority of a request.
func (r *replay) priority(c *replayCall) int {
	if r.customerPriority != nil {
		return r.customerPriority[c.customer]
	}
	return r.kinds[c.kind].priority
}

// try lets the caller's instance choose a server.
func (r *replay) try(c *replayCall) {
	q := r.request(c)
	s := c.front.view.Services["search"]
	if c.tries == 0 {
		s.Pressure.Arrived(r.now, q.Priority, q.Route.TargetLatency)
		s.Objects.Record(q.Object)
	}
	choice, reason := Place(c.front.view, q, r.now)
	if reason != Chosen || c.tries >= r.kinds[c.kind].attempts {
		r.refuse(c, q, choice, reason)
		return
	}
	server := choice.Server
	c.tries++
	c.tried = append(c.tried, server.Name)
	run := &replayRun{call: c, server: server, kind: choice.Kind, start: r.now}
	_, _ = fmt.Sscanf(string(server.Name), "s-%d", &run.index)
	server.Gauge.Begin(r.now)
	r.after(r.distance(c.front.region, r.servers[run.index].region)/2, func() { r.reach(run) })
}

func (r *replay) refuse(c *replayCall, q *Request, choice Choice, reason Reason) {
	count := &r.total[c.kind]
	if count.refused == nil {
		count.refused = make(map[Reason]int)
	}
	count.refused[reason]++
	if reason.OfOverload() {
		c.front.view.Services["search"].Pressure.Refused(r.now, q.Priority)
	}
	if r.onRefused != nil {
		r.onRefused(r, c)
		return
	}
	wait := max(RetryAfter(c.front.view, q, r.now), choice.RetryAfter, 300*time.Millisecond)
	r.comeBack(c, wait)
}

// comeBack lets the caller send again after the wait, once, if that is within a third of its time left.
func (r *replay) comeBack(c *replayCall, wait time.Duration) {
	left := r.kinds[c.kind].deadline - r.now.Sub(c.sent)
	if c.returned || wait > left/3 {
		return
	}
	again := &replayCall{kind: c.kind, object: c.object, customer: c.customer, front: r.pickFront(), sent: c.sent, returned: true, uncounted: c.uncounted}
	r.after(wait, func() { r.send(again) })
}

// reach lets a server accept or reject a request.
func (r *replay) reach(run *replayRun) {
	m := r.servers[run.index]
	if m.running >= r.slots && len(m.waiting) >= r.queue || r.rejecting != nil && r.rejecting(r, run.index) {
		r.answer(run, false)
		return
	}
	if m.running >= r.slots {
		m.waiting = append(m.waiting, run)
		return
	}
	r.begin(m, run)
}

func (r *replay) begin(m *replayServer, run *replayRun) {
	m.running++
	kind := r.kinds[run.call.kind]
	work := float64(kind.work) * (0.6 + 0.8*r.random.Float64())
	if r.slowShare > 0 && r.random.Float64() < r.slowShare {
		work *= r.slowFactor
	}
	if m.slow {
		work *= r.slowness
	}
	if m.touch(run.call.object, r.cached) {
		work *= 0.3
		r.hits++
	}
	r.runs++
	r.after(time.Duration(work), func() {
		m.running--
		r.answer(run, true)
		for len(m.waiting) > 0 && m.running < r.slots {
			next := m.waiting[0]
			m.waiting = m.waiting[1:]
			r.begin(m, next)
		}
	})
}

// touch reports whether the server remembers the object, and remembers it.
func (m *replayServer) touch(object, cached int) bool {
	hit := false
	for i, o := range m.cache {
		if o == object {
			m.cache = append(m.cache[:i], m.cache[i+1:]...)
			hit = true
			break
		}
	}
	m.cache = append(m.cache, object)
	if len(m.cache) > cached {
		m.cache = m.cache[1:]
	}
	return hit
}

// answer carries the server's answer to the instance, which learns from it as transport/front does.
func (r *replay) answer(run *replayRun, ran bool) {
	m := r.servers[run.index]
	load, slowness := m.running+len(m.waiting), 1.0
	if m.slow {
		slowness = r.slowness
	}
	r.after(r.distance(run.call.front.region, m.region)/2, func() {
		g := run.server.Gauge
		g.End(run.start)
		g.Report(r.now, load)
		g.ReportSlowness(r.now, slowness)
		s := run.call.front.view.Services["search"]
		took := r.now.Sub(run.start)
		s.Pressure.Reported(r.now, float64(load)/float64(r.slots), !ran)
		if !ran {
			r.try(run.call)
			return
		}
		s.Time.Record(took, g.Load(r.now), r.slots)
		s.Work.Record(run.kind, took, g.Load(r.now), r.slots)
		r.finish(run.call)
	})
}

func (r *replay) finish(c *replayCall) {
	kind, took := r.kinds[c.kind], r.now.Sub(c.sent)
	if took > kind.deadline || c.uncounted {
		return
	}
	value := kind.lateValue
	t, u := &r.total[c.kind], &r.byCust[c.customer]
	if took > kind.target {
		c.front.view.Services["search"].Pressure.Late(r.now, r.priority(c))
	}
	if took <= kind.target {
		value = 1
		t.inTime++
	}
	t.served, t.value = t.served+1, t.value+value
	u.served, u.value = u.served+1, u.value+value
}
