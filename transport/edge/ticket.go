package edge

import (
	"context"
	"sync/atomic"

	"azurebridge/coordination/admission"
)

// States of a ticket.
const (
	ticketWaiting int32 = iota
	ticketAnswered
	ticketAbandoned
)

// ticket is a request's place at the control goroutine. It implements admission.Asker.
type ticket struct {
	state  atomic.Int32
	answer chan admission.Answer
	cancel context.CancelCauseFunc // of the request under the grant
	fenced atomic.Bool
}

func newTicket(cancel context.CancelCauseFunc) *ticket {
	return &ticket{answer: make(chan admission.Answer, 1), cancel: cancel}
}

// Answer delivers the answer unless the request has stopped waiting.
func (t *ticket) Answer(a admission.Answer) bool {
	if !t.state.CompareAndSwap(ticketWaiting, ticketAnswered) {
		return false
	}
	t.answer <- a
	return true
}

// Fence cancels the request, because its grant may be given to others.
func (t *ticket) Fence() {
	t.fenced.Store(true)
	t.cancel(errFenced)
}

// wait returns the answer, or false when ctx ended first.
func (t *ticket) wait(ctx context.Context) (admission.Answer, bool) {
	select {
	case a := <-t.answer:
		return a, true
	case <-ctx.Done():
	}
	if t.state.CompareAndSwap(ticketWaiting, ticketAbandoned) {
		return admission.Answer{}, false
	}
	return <-t.answer, true // the answer was delivered at the same moment; its sender does not block
}
