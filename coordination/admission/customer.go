package admission

import (
	"container/heap"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/coordination/retry"
	"azurebridge/state"
)

// ReclaimTime is the max expected time until a customer gets guaranteed slots back that were lent to others.
const ReclaimTime = time.Second

// Constants of the hold time of slots and of the weights of customers.
const (
	assumedShortHold = 0.05     // seconds, before any request has been measured
	assumedLongHold  = 10       // the same for downloads and streams
	holdAlpha        = 1.0 / 32 // weight of a new hold time in the moving average
	medianStep       = 1.0 / 32 // relative step of the running estimate of the median
	minWeight        = 0.1      // percent; min weight of a customer when customers compete, also without a guaranteed share
)

// Slots of services with a mean hold time of up to shortHold seconds become free within ReclaimTime. For other services
// the measured number of releases counts, because the mean over ended requests is too low while long ones still run.
const (
	shortHold            = 0.1
	expectedReleaseShare = 0.7 // releases expected in the next second, relative to those of the last one
)

// releaseRate counts the releases of the last second in steps of 250 ms.
type releaseRate struct {
	counts [5]int
	step   int64 // number of the step that counts[0] is for; the others are earlier
}

const releaseStep = int64(250 * time.Millisecond)

func (r *releaseRate) advance(now state.Instant) {
	for step := int64(now) / releaseStep; r.step < step; r.step++ {
		if step-r.step > int64(len(r.counts)) {
			r.counts, r.step = [5]int{}, step
			return
		}
		copy(r.counts[1:], r.counts[:])
		r.counts[0] = 0
	}
}

func (r *releaseRate) add(now state.Instant) {
	r.advance(now)
	r.counts[0]++
}

// lastSecond returns the releases in the last four whole steps.
func (r *releaseRate) lastSecond(now state.Instant) int {
	r.advance(now)
	return r.counts[1] + r.counts[2] + r.counts[3] + r.counts[4]
}

// pool is the state of one service in the region.
type pool struct {
	name             state.ServiceName
	servers          []*server
	slots            int // of the servers that are not drained
	running          int
	queued           int
	inWaiting        bool // in Home.waiting
	accounts         map[state.CustomerName]*account
	ready            accountHeap
	parked           []*account // accounts whose waiting requests are blocked by their own limits; parked longest first
	budget           *retry.Budget
	unusedGuaranteed int // guaranteed slots that their customers do not use

	releases      releaseRate
	meanHold      float64 // smoothed mean time that a slot is held, in seconds
	holdP50       float64
	medianLatency float64 // of the servers' smoothed latencies, in seconds
	evaluatedAt   state.Instant
	scratch       []float64
}

// account counts what one customer uses of one service.
type account struct {
	pool       *pool
	customer   state.CustomerName
	allowed    bool    // the plan has the service in this region
	weight     float64 // share in percent, for the order of customers that compete
	guaranteed int     // slots
	burst      int     // slots
	running    int
	queued     int
	lanes      []*lane
	oldest     uint64 // sequence number of the oldest waiting request
	index      int    // in pool.ready; -1 when not there
	refused    map[message.Refusal]uint64
}

// laneKey identifies the limits that a request is subject to besides slots. Requests with equal keys wait in order; a
// request never waits for one with another key.
type laneKey struct {
	link  *link
	shift *shift
	rate  int64
	retry bool // excludes servers
}

// lane is the queue of one customer's requests that are subject to the same limits.
type lane struct {
	key     laneKey
	waiters []*waiter
}

// waiter is a waiting request.
type waiter struct {
	key     grantKey
	request *message.GrantRequest
	account *account
	lane    *lane
	seq     uint64
	since   state.Instant
	expires state.Instant
	index   int // in Home.deadlines
}

// accountHeap orders customers by running requests relative to their share, then by the age of their oldest request.
type accountHeap []*account

func (q accountHeap) Len() int { return len(q) }

func (q accountHeap) Less(i, j int) bool {
	a, b := float64(q[i].running)*q[j].weight, float64(q[j].running)*q[i].weight
	if a != b {
		return a < b
	}
	return q[i].oldest < q[j].oldest
}

func (q accountHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *accountHeap) Pop() any {
	old := *q
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	a.index = -1
	return a
}

// deadlineHeap orders waiting requests by the end of their wait.
type deadlineHeap []*waiter

func (q deadlineHeap) Len() int           { return len(q) }
func (q deadlineHeap) Less(i, j int) bool { return q[i].expires < q[j].expires }

func (q deadlineHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *deadlineHeap) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

func newPool(name state.ServiceName) *pool {
	return &pool{name: name, accounts: make(map[state.CustomerName]*account), budget: retry.NewBudget()}
}

func (p *pool) account(name state.CustomerName) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{pool: p, customer: name, index: -1, weight: minWeight, refused: make(map[message.Refusal]uint64)}
		p.accounts[name] = a
	}
	return a
}

// addRunning counts a new grant of the customer.
func (a *account) addRunning() {
	if a.running < a.guaranteed {
		a.pool.unusedGuaranteed--
	}
	a.running++
	a.reorder()
}

// removeRunning counts the end of a grant.
func (a *account) removeRunning() {
	a.running--
	if a.running < a.guaranteed {
		a.pool.unusedGuaranteed++
	}
	a.reorder()
}

func (a *account) reorder() {
	if a.index >= 0 {
		heap.Fix(&a.pool.ready, a.index)
	}
}

// mayLend reports whether a customer that already uses all its guaranteed slots may get one more: the guaranteed slots that
// others don't use must be free, or expected to become free within ReclaimTime.
func (p *pool) mayLend(now state.Instant) bool {
	if p.meanHold <= shortHold {
		return true
	}
	expectedReleases := min(float64(p.running), expectedReleaseShare*float64(p.releases.lastSecond(now)))
	if float64(p.unusedGuaranteed) <= expectedReleases {
		return true
	}
	free := 0
	for _, s := range p.servers {
		if !s.drained && !s.ejected {
			free += max(0, s.config.Slots-s.running)
		}
	}
	return float64(free-1) >= float64(p.unusedGuaranteed)-expectedReleases
}

// observeHold updates the mean and the median of the hold time with that of an ended grant.
func (p *pool) observeHold(d time.Duration) {
	v := d.Seconds()
	p.meanHold += (v - p.meanHold) * holdAlpha
	switch {
	case p.holdP50 == 0:
		p.holdP50 = v
	case v > p.holdP50:
		p.holdP50 *= 1 + medianStep
	case v < p.holdP50:
		p.holdP50 *= 1 - medianStep
	}
}

// push appends a request to its lane. It returns nil when the customer already has MaxLanes lanes.
func (a *account) push(w *waiter, key laneKey) *lane {
	var l *lane
	for _, x := range a.lanes {
		if x.key == key {
			l = x
			break
		}
	}
	if l == nil {
		if len(a.lanes) >= MaxLanes {
			return nil
		}
		l = &lane{key: key}
		a.lanes = append(a.lanes, l)
	}
	w.account, w.lane = a, l
	l.waiters = append(l.waiters, w)
	a.queued++
	a.pool.queued++
	if a.queued == 1 {
		a.oldest = w.seq
		heap.Push(&a.pool.ready, a)
	}
	return l
}

// remove removes a request from its lane.
func (a *account) remove(w *waiter) {
	l := w.lane
	for i, x := range l.waiters {
		if x == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			break
		}
	}
	a.queued--
	a.pool.queued--
	a.oldest = ^uint64(0)
	remaining := a.lanes[:0]
	for _, x := range a.lanes {
		if len(x.waiters) > 0 {
			remaining = append(remaining, x)
			a.oldest = min(a.oldest, x.waiters[0].seq)
		}
	}
	for i := len(remaining); i < len(a.lanes); i++ {
		a.lanes[i] = nil
	}
	a.lanes = remaining
	if a.queued > 0 {
		a.reorder()
		return
	}
	if a.index >= 0 {
		heap.Remove(&a.pool.ready, a.index)
	}
	// A parked account without requests is removed from the list by unpark.
}
