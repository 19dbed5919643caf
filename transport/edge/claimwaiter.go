package edge

import (
	"context"
	"sync/atomic"

	"azurebridge/coordination/message"
)

// claimWaiter receives the answer to the claim of a submission. It implements claims.Waiter.
type claimWaiter struct {
	state  atomic.Int32
	answer chan *message.ClaimReply
}

func newClaimWaiter() *claimWaiter {
	return &claimWaiter{answer: make(chan *message.ClaimReply, 1)}
}

// Claimed delivers the answer unless the submission has stopped waiting.
func (w *claimWaiter) Claimed(r *message.ClaimReply) bool {
	if !w.state.CompareAndSwap(waiterPending, waiterAnswered) {
		return false
	}
	w.answer <- r
	return true
}

// wait returns the answer, or false when ctx ended first.
func (w *claimWaiter) wait(ctx context.Context) (*message.ClaimReply, bool) {
	select {
	case r := <-w.answer:
		return r, true
	case <-ctx.Done():
	}
	if w.state.CompareAndSwap(waiterPending, waiterAbandoned) {
		return nil, false
	}
	return <-w.answer, true // Claimed changed the state first; it sends without blocking
}
