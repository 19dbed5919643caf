package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds and intervals of the loop.
const (
	MaxQueuedEvents = 4096                   // events waiting for the control goroutine
	MaxBatch        = 256                    // events handled before the resulting work is dispatched
	StatusInterval  = 250 * time.Millisecond // between load reports of a home
)

// ErrControlBusy reports that the event queue is full. The request has not run.
var ErrControlBusy = errors.New("control queue is full")

// Sender sends messages to other instances. Send must not block; it counts what it drops.
type Sender interface {
	Send(e *message.Envelope)
}

// Storer runs store operations and passes their results back as Stored. Submit must not block; it counts what it drops.
type Storer interface {
	Submit(op StoreOp)
}

// pendingRelease is a grant to return to the home of its region.
type pendingRelease struct {
	region  state.RegionName
	release message.Release
}

// Loop runs a Core on one goroutine.
type Loop struct {
	core     *Core
	clock    func() state.Instant
	sender   Sender
	configs  ConfigWorker // nil until UseConfigWorker
	claims   ClaimStore   // nil until UseClaimStore
	storer   Storer       // nil until UseStore
	prober   Prober       // nil until UseProber
	queue    chan Event
	wake     chan struct{}
	snapshot atomic.Pointer[state.Snapshot]
	Dropped  atomic.Uint64 // events, outcomes and claim operations lost because a queue was full

	mu       sync.Mutex
	releases []pendingRelease
	reports  []*message.OutcomeReport
}

// NewLoop returns a loop that is not yet running. Its first snapshot contains only the instance itself.
func NewLoop(core *Core, clock func() state.Instant, sender Sender) *Loop {
	l := &Loop{
		core: core, clock: clock, sender: sender,
		queue: make(chan Event, MaxQueuedEvents),
		wake:  make(chan struct{}, 1),
	}
	l.dispatch(core.Ready(clock()))
	return l
}

// UseStore sets the worker for store operations. It must be called before Run; without it, operations are dropped.
func (l *Loop) UseStore(s Storer) { l.storer = s }

// Snapshot returns the current snapshot, which is immutable.
func (l *Loop) Snapshot() *state.Snapshot { return l.snapshot.Load() }

// Now returns the time of the loop's clock.
func (l *Loop) Now() state.Instant { return l.clock() }

// Offer queues an event without blocking. It returns ErrControlBusy when the queue is full.
func (l *Loop) Offer(ev Event) error {
	select {
	case l.queue <- ev:
		return nil
	default:
		l.Dropped.Add(1)
		return ErrControlBusy
	}
}

// Release queues the return of a grant. It never fails: the control goroutine empties the buffer of releases, which is
// bounded by the number of grants in use.
func (l *Loop) Release(region state.RegionName, r message.Release) {
	l.mu.Lock()
	l.releases = append(l.releases, pendingRelease{region, r})
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run is the control goroutine. It returns when ctx ends. It sleeps until an event arrives or the core has work due.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := l.clock()
	for {
		ticked := false
		select {
		case <-ctx.Done():
			return
		case ev := <-l.queue:
			l.step(ev)
			l.stepQueued()
		case <-l.wake:
		case <-timer.C:
			l.core.Tick(l.clock())
			ticked = true
		}
		l.flushReleases()
		l.flushReports()
		now := l.clock()
		l.dispatch(l.core.Ready(now))
		// An event may only make the next tick earlier: otherwise a stream of events would postpone it forever.
		if next := now.Add(l.core.NextTick(now)); ticked || next.Before(due) {
			due = next
			timer.Reset(due.Sub(now))
		}
	}
}

// stepQueued handles queued events up to MaxBatch, so that their work is dispatched together.
func (l *Loop) stepQueued() {
	for i := 1; i < MaxBatch; i++ {
		select {
		case ev := <-l.queue:
			l.step(ev)
		default:
			return
		}
	}
}

// step handles an event after the outcomes that were reported before it, so that a repeated submission finds its outcome.
func (l *Loop) step(ev Event) {
	l.flushReports()
	l.core.Step(l.clock(), ev)
}

func (l *Loop) flushReleases() {
	l.mu.Lock()
	list := l.releases
	l.releases = nil
	l.mu.Unlock()
	for _, r := range list {
		l.core.Release(r.region, r.release)
	}
}

func (l *Loop) dispatch(r Ready) {
	if r.Snapshot != nil {
		l.snapshot.Store(r.Snapshot)
	}
	for _, e := range r.Messages {
		l.sender.Send(e)
	}
	l.dispatchConfig(r.Config)
	l.runClaims(r.Claims)
	l.runStore(r.Store)
	l.runProbes(r.Probes)
}

// runStore passes store operations to the worker, which counts those that it drops; the election repeats them.
func (l *Loop) runStore(ops []StoreOp) {
	if l.storer == nil {
		return
	}
	for _, op := range ops {
		l.storer.Submit(op)
	}
}
