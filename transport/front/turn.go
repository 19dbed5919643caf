package front

import (
	"context"
	"net/http"
)

// orderedWriter is the response writer of a connection on which requests are read ahead.
type orderedWriter interface {
	// AwaitTurn waits until all earlier answers of the connection have been sent, and fails when ctx or the connection ends
	// before.
	AwaitTurn(ctx context.Context) error
}

// awaitTurn lets a request that must not be repeated wait for the earlier ones of its connection: its caller sends it again when
// one of their answers closes the connection. It returns false when the request has ended meanwhile.
func (q *request) awaitTurn() bool {
	w, ok := q.w.(orderedWriter)
	if !ok || q.route.Idempotent {
		return true
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), q.timeLeft())
	defer cancel()
	err := w.AwaitTurn(ctx)
	switch {
	case err == nil && !q.callerLeft():
		return true
	case q.callerLeft() || ctx.Err() == nil:
		q.m.Stats.Left.Add(1)
		q.log("connection ended before the request's turn")
		panic(http.ErrAbortHandler)
	}
	q.refuse("earlier requests of the connection took too long", refusedRetryAfter)
	return false
}
