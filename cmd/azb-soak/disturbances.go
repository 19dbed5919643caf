package main

import (
	"sync"
	"time"
)

// span is a period in which a component was disturbed by a fault. End is zero while it lasts.
type span struct {
	Start, End time.Time
	Fault      fault
}

// disturbances records when a component was disturbed. It is safe for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans []span
}

// begin records the start of a disturbance, and returns the function that records its end.
func (d *disturbances) begin(kind fault) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.spans)
	d.spans = append(d.spans, span{Start: time.Now(), Fault: kind})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[n].End = time.Now()
	}
}

// add records a disturbance that has ended.
func (d *disturbances) add(s span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, s)
}

// undisturbed reports whether the component had no fault, other than ignored, during [from-stabilityWindow, to].
func (d *disturbances) undisturbed(from, to time.Time, ignored fault) bool {
	return !d.overlaps(from.Add(-stabilityWindow), to, func(f fault) bool { return f != ignored })
}

// overlaps reports whether a disturbance by a fault that kind accepts overlaps the period.
func (d *disturbances) overlaps(from, to time.Time, kind func(fault) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if kind(s.Fault) && s.Start.Before(to) && (s.End.IsZero() || s.End.After(from)) {
			return true
		}
	}
	return false
}
