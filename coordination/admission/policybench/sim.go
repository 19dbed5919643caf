// Package policybench compares policies that choose a backend server, in a discrete-event simulation with a virtual
// clock. It runs the code of package admission itself, not a model of it, and needs no network and no real time.
package policybench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// event is a function call at a time of the virtual clock.
type event struct {
	at  time.Duration
	seq uint64 // events at the same time run in the order in which they were added
	run func()
}

type eventHeap []event

func (q eventHeap) Len() int      { return len(q) }
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// sim is an event queue with a virtual clock.
type sim struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// every calls f after first, and then at intervals of d.
func (s *sim) every(first, d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		s.after(d, again)
	}
	s.after(first, again)
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// Work draws service times with a mean of 1.
type Work func(*rand.Rand) float64

// Exponential draws exponential service times.
func Exponential(r *rand.Rand) float64 { return r.ExpFloat64() }

// HeavyTailed draws lognormal service times whose standard deviation is 2.9 times their mean.
func HeavyTailed(r *rand.Rand) float64 {
	const sigma = 1.5
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}

// Uniform draws service times between half and one and a half times their mean.
func Uniform(r *rand.Rand) float64 { return 0.5 + r.Float64() }

// request is one simulated request.
type request struct {
	arrived  time.Duration
	work     time.Duration // service time at a server of normal speed
	entry    int           // entry instance
	customer int
	attempts int
	failedOn []int // servers that failed
}

// server is a simulated backend server. Requests beyond its slots wait in its queue.
type server struct {
	slots     int
	running   int
	peak      int     // max number of requests that ran or waited here at once
	slowdown  float64 // service time relative to the other servers
	failShare float64 // share of its requests that fail
	queue     []func()
}

func (b *server) load() int { return b.running + len(b.queue) }

// serve runs a request and calls done when it ends, with the time that the server worked on it.
func (b *server) serve(s *sim, r *request, ok bool, done func(ok bool, took time.Duration)) {
	start := func() {
		b.running++
		took := time.Duration(float64(r.work) * b.slowdown)
		if !ok {
			took = time.Millisecond
		}
		s.after(took, func() {
			b.running--
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next()
			}
			done(ok, took)
		})
	}
	b.peak = max(b.peak, b.load()+1)
	if b.running < b.slots {
		start()
		return
	}
	b.queue = append(b.queue, start)
}

// Latencies are the latencies of finished requests.
type Latencies []time.Duration

// Quantile returns the q-quantile, 0 when there are none.
func (l Latencies) Quantile(q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l[min(len(l)-1, int(q*float64(len(l))))]
}
