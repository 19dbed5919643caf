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
	MaxBatch        = 256                    // events handled before work is handed out
	StatusInterval  = 250 * time.Millisecond // between load reports of a home
)

// ErrControlBusy tells that the event queue was full. The request has not run.
var ErrControlBusy = errors.New("control queue is full")

// Sender sends messages to other instances. Send must not block; it counts what it drops.
type Sender interface {
	Send(e *message.Envelope)
}

// Storer runs store operations and passes their results back as Stored. Store must not block; it counts what it drops.
type Storer interface {
	Store(op StoreOp)
}

// release is a grant to give back.
type release struct {
	region state.RegionName
	r      message.Release
}

// Loop runs a Core on one goroutine.
type Loop struct {
	core     *Core
	clock    func() state.Instant
	sender   Sender
	configs  ConfigWorker // nil until SetConfigWorker
	claims   ClaimStore   // nil until UseClaimStore
	storer   Storer       // nil until UseStore
	prober   Prober       // nil until UseProber
	queue    chan Event
	wake     chan struct{}
	snapshot atomic.Pointer[state.Snapshot]
	Dropped  atomic.Uint64 // events refused because the queue was full

	mu       sync.Mutex
	releases []release
	reports  []*message.OutcomeReport
}

// NewLoop returns a loop that is not yet running. Its first snapshot knows only the instance itself.
func NewLoop(core *Core, clock func() state.Instant, sender Sender) *Loop {
	l := &Loop{
		core: core, clock: clock, sender: sender,
		queue: make(chan Event, MaxQueuedEvents),
		wake:  make(chan struct{}, 1),
	}
	l.hand(core.Ready(clock()))
	return l
}

// UseStore sets who runs store operations. It is called before Run; without it, operations are dropped.
func (l *Loop) UseStore(s Storer) { l.storer = s }

// Snapshot returns the current view. It is immutable.
func (l *Loop) Snapshot() *state.Snapshot { return l.snapshot.Load() }

// Now reads the loop's clock.
func (l *Loop) Now() state.Instant { return l.clock() }

// Offer passes an event without waiting. It returns ErrControlBusy when the queue is full.
func (l *Loop) Offer(ev Event) error {
	select {
	case l.queue <- ev:
		return nil
	default:
		l.Dropped.Add(1)
		return ErrControlBusy
	}
}

// Release gives a grant back. It never fails: releases wait in a buffer that the control goroutine empties, bounded by
// the number of grants in use.
func (l *Loop) Release(region state.RegionName, r message.Release) {
	l.mu.Lock()
	l.releases = append(l.releases, release{region, r})
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
			l.drain()
		case <-l.wake:
		case <-timer.C:
			l.core.Tick(l.clock())
			ticked = true
		}
		l.takeReleases()
		l.takeReports()
		now := l.clock()
		l.hand(l.core.Ready(now))
		// An event can only bring the next run forward: otherwise a stream of events would put it off for ever.
		if next := now.Add(l.core.NextTick(now)); ticked || next.Before(due) {
			due = next
			timer.Reset(due.Sub(now))
		}
	}
}

// drain handles queued events up to MaxBatch, so that their work is handed out together.
func (l *Loop) drain() {
	for i := 1; i < MaxBatch; i++ {
		select {
		case ev := <-l.queue:
			l.step(ev)
		default:
			return
		}
	}
}

// step handles an event after the outcomes that came before it, so that a repeated submission finds its outcome.
func (l *Loop) step(ev Event) {
	l.takeReports()
	l.core.Step(l.clock(), ev)
}

func (l *Loop) takeReleases() {
	l.mu.Lock()
	list := l.releases
	l.releases = nil
	l.mu.Unlock()
	for _, r := range list {
		l.core.Release(r.region, r.r)
	}
}

func (l *Loop) hand(r Ready) {
	if r.Snapshot != nil {
		l.snapshot.Store(r.Snapshot)
	}
	for _, e := range r.Messages {
		l.sender.Send(e)
	}
	l.handConfig(r.Config)
	l.runClaims(r.Claims)
	l.runStore(r.Store)
	l.runProbes(r.Probes)
}

// runStore hands store operations to the worker, which counts what it drops; the election repeats what it misses.
func (l *Loop) runStore(ops []StoreOp) {
	if l.storer == nil {
		return
	}
	for _, op := range ops {
		l.storer.Store(op)
	}
}
