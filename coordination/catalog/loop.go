package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// maxQueuedEvents bounds the queue of the control goroutine. Observations that find it full are dropped and counted.
const maxQueuedEvents = 1024

// Loop runs a Core on the one control goroutine.
type Loop struct {
	core       *Core
	clock      func() state.Instant
	log        func(LogEntry)
	queue      chan Event
	view       atomic.Pointer[View]
	tableReady chan struct{} // closed when the first routing table is in force
	Dropped    atomic.Uint64 // observations dropped because the queue was full
}

// NewLoop returns a loop that is not yet running. log is called on the control goroutine and must not block.
func NewLoop(core *Core, clock func() state.Instant, log func(LogEntry)) *Loop {
	l := &Loop{core: core, clock: clock, log: log, queue: make(chan Event, maxQueuedEvents), tableReady: make(chan struct{})}
	l.view.Store(core.View())
	return l
}

// View returns the current view.
func (l *Loop) View() *View { return l.view.Load() }

// TableReady returns a channel that is closed when the first routing table is in force.
func (l *Loop) TableReady() <-chan struct{} { return l.tableReady }

// publish makes a view the current one. It runs on the control goroutine.
func (l *Loop) publish(v *View) {
	first := v.Table != nil && l.View().Table == nil
	l.view.Store(v)
	if first {
		close(l.tableReady)
	}
}

// Now returns the time of the clock that the view's instants refer to.
func (l *Loop) Now() state.Instant { return l.clock() }

// Observe enqueues an observation of a traffic goroutine or another instance (Observed, LimitNamed or LimitEnded) without
// blocking. It drops and counts the observation when the queue is full.
func (l *Loop) Observe(o Event) { _ = l.Post(o) }

// Post enqueues an event without blocking. It returns false when the queue is full.
func (l *Loop) Post(ev Event) bool {
	select {
	case l.queue <- ev:
		return true
	default:
		l.Dropped.Add(1)
		return false
	}
}

// Buckets returns the state of the buckets of the customers that this instance is an owner of, or an error when ctx ends first.
func (l *Loop) Buckets(ctx context.Context) ([]quota.BucketState, error) {
	reply := make(chan []quota.BucketState, 1)
	l.Send(ctx, CollectBuckets{Reply: reply})
	select {
	case buckets := <-reply:
		return buckets, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "collect buckets of customers")
	}
}

// Send enqueues an event; it waits for a free slot in the queue or until ctx ends. It is for the goroutines that follow the
// store, which may block. For facts, ctx must be that of the process: the end of a single call's context would lose them.
func (l *Loop) Send(ctx context.Context, ev Event) {
	select {
	case l.queue <- ev:
	case <-ctx.Done():
	}
}

// Collect returns the store content that the core knows, or an error when ctx ends first.
func (l *Loop) Collect(ctx context.Context) (StoreContent, error) {
	reply := make(chan StoreContent, 1)
	l.Send(ctx, Collect{Reply: reply})
	select {
	case content := <-reply:
		return content, nil
	case <-ctx.Done():
		return StoreContent{}, errors.Wrap(ctx.Err(), "collect store content")
	}
}

// Run is the control goroutine. It returns when ctx ends, and sleeps until an event arrives or the core has work due.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.queue:
			l.core.Step(l.clock(), ev)
			l.stepQueued()
		case <-timer.C:
			l.core.Tick(l.clock())
		}
		if v := l.core.View(); v != nil {
			l.publish(v)
		}
		for _, n := range l.core.TakeLogEntries() {
			l.log(n)
		}
		if due, ok := l.core.NextTick(); ok {
			timer.Reset(due.Sub(l.clock()))
		}
	}
}

// stepQueued handles the events that are already queued, so that they lead to one view. Events that arrive meanwhile are left
// for the next view, since a constant flow of events would otherwise keep any view from being published.
func (l *Loop) stepQueued() {
	for range len(l.queue) {
		l.core.Step(l.clock(), <-l.queue)
	}
}
