package main

import (
	"sync"
	"time"
)

// span is a time in which a part was disturbed. End is zero while it lasts.
type span struct {
	Start, End time.Time
	What       fault
}

// trouble is when a part was disturbed. It is safe for concurrent use.
type trouble struct {
	mu    sync.Mutex
	spans []span
}

// begin notes that the part is disturbed from now on, and returns what ends that.
func (t *trouble) begin(what fault) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.spans)
	t.spans = append(t.spans, span{Start: time.Now(), What: what})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spans[n].End = time.Now()
	}
}

// add notes a disturbance that is over.
func (t *trouble) add(s span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
}

// calm reports whether nothing, but for faults of the kind passed over, has disturbed the part from the stability window
// before a time until another.
func (t *trouble) calm(from, to time.Time, passedOver fault) bool {
	return !t.met(from.Add(-stability), to, func(f fault) bool { return f != passedOver })
}

// met reports whether a disturbance of the kinds overlaps a time.
func (t *trouble) met(from, to time.Time, kind func(fault) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if kind(s.What) && s.Start.Before(to) && (s.End.IsZero() || s.End.After(from)) {
			return true
		}
	}
	return false
}
