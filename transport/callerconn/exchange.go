package callerconn

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"azurebridge/transport/membudget"
)

// exchange is a request of a connection and its answer in progress.
type exchange struct {
	conn     *conn
	request  *http.Request
	head     *membudget.Hold // of its head
	rejected *rejection      // set when the request is answered without the handler
	body     *body           // nil when the request has none
	turn     chan struct{}   // closed when all earlier requests have been answered
	ahead    bool            // it has one of the places of Options.MaxAhead; guarded by conn.mu
	started  atomic.Bool
	response response
}

func newExchange(c *conn, r *http.Request, rejected *rejection) *exchange {
	x := &exchange{conn: c, request: r.WithContext(c.ctx), rejected: rejected, turn: make(chan struct{}), head: c.head}
	c.head = nil
	x.response.exchange = x
	if r.Body != nil && r.Body != http.NoBody {
		c.resetWait()
		c.growReceiveBuffer(r.ContentLength)
		x.body = newBody(bodyReader{c, r.Body})
		x.request.Body = x.body
		if expectsContinue(r) {
			x.body.sendInterim = x.response.sendContinue
		}
	}
	return x
}

// start runs the handler on a goroutine of its own.
func (x *exchange) start() {
	x.started.Store(true)
	go x.run()
}

// run answers the request and gives the turn to the next one.
func (x *exchange) run() {
	defer func() {
		if cause := recover(); cause != nil {
			x.abort(cause)
		}
		x.conn.leaveQueue(x)
	}()
	if x.rejected != nil {
		x.respondRejected()
	} else {
		x.conn.server.opts.Handler.ServeHTTP(&x.response, x.request)
	}
	if err := x.response.finish(); err != nil {
		x.abort(http.ErrAbortHandler)
	}
}

func (x *exchange) respondRejected() {
	x.response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if x.rejected.status == http.StatusServiceUnavailable {
		x.response.Header().Set("Retry-After", busyRetryAfter)
	}
	x.response.WriteHeader(x.rejected.status)
	_, _ = x.response.Write([]byte(http.StatusText(x.rejected.status) + ": " + x.rejected.reason + "\n")) // finish reports errors
}

// abort closes the connection once the earlier answers have been sent.
func (x *exchange) abort(cause any) {
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.conn.server.opts.Log.Error("handler failed", "cause", cause)
	}
	_ = x.awaitTurn(x.conn.ctx) // fails when the connection has ended, which abort does no harm to
	x.conn.abort()
	x.endBody()
}

// awaitTurn waits until all earlier answers of the connection have been sent, or ctx ends. Every request that ends gives the
// turn to the next one, also when the connection has ended.
func (x *exchange) awaitTurn(ctx context.Context) error {
	select {
	case <-x.turn:
		return x.conn.endedError()
	default:
	}
	select {
	case <-x.turn:
		return x.conn.endedError()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closesWithAnswer decides whether the connection ends with this answer, and records it: because the handler wants that, the
// caller sends no more, or the body of the request has not been read and is not read on. While further requests are in progress, only the last
// answer can close the connection, since theirs would be lost.
func (x *exchange) closesWithAnswer(wanted bool) bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = c.stopping || wanted
	last := len(c.queue) == 1
	c.closing = last && (c.stopping || lastOfConnection(x.request) || x.body != nil && !x.body.whole.Load() && x.response.readOn == nil)
	return c.closing
}

// readOn keeps the body readable after the answer until the channel is closed or the connection ends. When the body has not been read
// to its end then, the connection ends like one whose last answer has been sent.
func (x *exchange) readOn(until <-chan struct{}) {
	if until == nil {
		return
	}
	select {
	case <-until:
	case <-x.conn.ctx.Done():
	}
	if x.body.whole.Load() {
		return
	}
	x.conn.mu.Lock()
	x.conn.closing = true
	x.conn.mu.Unlock()
	x.conn.closeAfterAnswer()
}

// endBody gives up the rest of the request's body, which nothing needs after the answer.
func (x *exchange) endBody() {
	if x.body == nil || x.body.whole.Load() {
		return
	}
	_ = x.conn.SetReadDeadline(past) // ends a read in progress; fails only for a closed connection
	x.body.giveUp()
}

// leaveAhead returns the exchange's place of Options.MaxAhead, if it has one. conn.mu is held on entry.
func (x *exchange) leaveAhead() {
	if x.ahead {
		x.ahead = false
		x.conn.server.returnAhead()
	}
}
