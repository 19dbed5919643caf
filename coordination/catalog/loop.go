package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurebridge/state"
)

// maxQueuedEvents bounds the events that wait for the control goroutine. Observations past it are dropped and counted.
const maxQueuedEvents = 1024

// Loop runs a Core on the one control goroutine.
type Loop struct {
	core    *Core
	clock   func() state.Instant
	note    func(Note)
	queue   chan Event
	view    atomic.Pointer[View]
	Dropped atomic.Uint64 // observations dropped because the queue was full
}

// NewLoop returns a loop that is not yet running. note is called on the control goroutine and must not wait.
func NewLoop(core *Core, clock func() state.Instant, note func(Note)) *Loop {
	l := &Loop{core: core, clock: clock, note: note, queue: make(chan Event, maxQueuedEvents)}
	l.view.Store(core.View())
	return l
}

// View returns the current view.
func (l *Loop) View() *View { return l.view.Load() }

// Now reads the clock of the view's instants.
func (l *Loop) Now() state.Instant { return l.clock() }

// Observe passes an outcome without waiting.
func (l *Loop) Observe(o Observed) {
	select {
	case l.queue <- o:
	default:
		l.Dropped.Add(1)
	}
}

// Tell passes an event and waits for room in the queue, or until ctx ends. It is for the goroutines that follow the store, which
// lose nothing by waiting; ctx must be that of the process, not of a call, or facts are lost.
func (l *Loop) Tell(ctx context.Context, ev Event) {
	select {
	case l.queue <- ev:
	case <-ctx.Done():
	}
}

// Collect returns what the core knows of the store, or an error when ctx ends first.
func (l *Loop) Collect(ctx context.Context) (Known, error) {
	reply := make(chan Known, 1)
	l.Tell(ctx, Collect{Reply: reply})
	select {
	case known := <-reply:
		return known, nil
	case <-ctx.Done():
		return Known{}, errors.Wrap(ctx.Err(), "collect what is known of the store")
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
			l.drain()
		case <-timer.C:
			l.core.Tick(l.clock())
		}
		if v := l.core.View(); v != nil {
			l.view.Store(v)
		}
		for _, n := range l.core.TakeNotes() {
			l.note(n)
		}
		if due, ok := l.core.NextTick(); ok {
			timer.Reset(due.Sub(l.clock()))
		}
	}
}

// drain handles the events that wait already, so that they make one view. Those that arrive meanwhile make the next one:
// under a flood of them nothing would be published.
func (l *Loop) drain() {
	for range len(l.queue) {
		l.core.Step(l.clock(), <-l.queue)
	}
}
