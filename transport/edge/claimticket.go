package edge

import (
	"context"
	"sync/atomic"

	"azurebridge/coordination/message"
)

// claimTicket is a submission's wait for the answer to its claim. It implements claims.Waiter.
type claimTicket struct {
	state  atomic.Int32
	answer chan *message.ClaimReply
}

func newClaimTicket() *claimTicket {
	return &claimTicket{answer: make(chan *message.ClaimReply, 1)}
}

// Claimed delivers the answer unless the submission has stopped waiting.
func (t *claimTicket) Claimed(r *message.ClaimReply) bool {
	if !t.state.CompareAndSwap(ticketWaiting, ticketAnswered) {
		return false
	}
	t.answer <- r
	return true
}

// wait returns the answer, or false when ctx ended first.
func (t *claimTicket) wait(ctx context.Context) (*message.ClaimReply, bool) {
	select {
	case r := <-t.answer:
		return r, true
	case <-ctx.Done():
	}
	if t.state.CompareAndSwap(ticketWaiting, ticketAbandoned) {
		return nil, false
	}
	return <-t.answer, true // the answer was delivered at the same moment; its sender does not block
}
