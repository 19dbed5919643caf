package edge

import (
	"context"
	"sync/atomic"

	"azurebridge/coordination/admission"
)

// States of a grantWaiter or claimWaiter.
const (
	waiterPending int32 = iota
	waiterAnswered
	waiterAbandoned
)

// grantWaiter receives the answer to a request for a grant and cancels the request when the grant is lost. It implements
// admission.Requester.
type grantWaiter struct {
	state  atomic.Int32
	answer chan admission.Answer
	cancel context.CancelCauseFunc // cancels the request under the grant
	fenced atomic.Bool
}

func newGrantWaiter(cancel context.CancelCauseFunc) *grantWaiter {
	return &grantWaiter{answer: make(chan admission.Answer, 1), cancel: cancel}
}

// Answer delivers the answer unless the request has stopped waiting.
func (w *grantWaiter) Answer(a admission.Answer) bool {
	if !w.state.CompareAndSwap(waiterPending, waiterAnswered) {
		return false
	}
	w.answer <- a
	return true
}

// Fence cancels the request, because its grant may now be given to others.
func (w *grantWaiter) Fence() {
	w.fenced.Store(true)
	w.cancel(errFenced)
}

// wait returns the answer, or false when ctx ended first.
func (w *grantWaiter) wait(ctx context.Context) (admission.Answer, bool) {
	select {
	case a := <-w.answer:
		return a, true
	case <-ctx.Done():
	}
	if w.state.CompareAndSwap(waiterPending, waiterAbandoned) {
		return admission.Answer{}, false
	}
	return <-w.answer, true // Answer changed the state first; it sends without blocking
}
