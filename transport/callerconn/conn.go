package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// Sizes of a connection's buffers, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// errConnEnded means that the connection ended before the answer could be sent.
var errConnEnded = errors.New("the caller's connection has ended")

// conn is a caller's connection. Its reader goroutine reads requests and is the only one that closes it, except for abort and
// the limits. Each request in progress has a goroutine of its own; the one of the oldest request may write.
type conn struct {
	net.Conn
	server   *Server
	source   *source
	reader   *bufio.Reader
	writer   *bufio.Writer
	account  *membudget.Account
	base     *membudget.Hold // of the connection itself
	crowded  bool            // its request is refused, because the server has no room for the connection
	received *membudget.Hold // of a large receive buffer; nil without one. The reader goroutine uses it
	head     *membudget.Hold // of the head that is being read; the reader goroutine uses it
	ctx      context.Context // ends when the caller has left or the connection is aborted
	cancel   context.CancelFunc

	mu       sync.Mutex
	changed  sync.Cond   // the queue has become shorter, or the connection ends
	queue    []*exchange // requests that are not answered yet, oldest first
	held     *exchange   // the newest of them, which is started before the reader waits for bytes
	watching bool        // the reader watches for the caller's leaving while it waits for the queue
	partial  bool        // bytes have been read that belong to no request of the queue
	since    state.Instant
	wait     bodyWait
	writing  state.Instant // start of the current write; 0 when there is none
	// lingering is since when the connection has only waited for the caller to close it; 0 when it does not.
	lingering state.Instant
	stopping  bool // no further requests are taken up; the last answer says so
	closing   bool // the last answer has been sent or is being sent
	closed    bool // bytes read afterwards are dropped
}

func newConn(s *Server, nc net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{Conn: nc, server: s, ctx: ctx, cancel: cancel, since: s.opts.Clock()}
	c.changed.L = &c.mu
	c.account = s.opts.Budget.Open(c)
	c.base = c.account.Hold(membudget.Connection)
	c.source = newSource(nc, c.startHeld)
	c.source.charge = c.chargeHead
	c.reader = bufio.NewReaderSize(tracker{c}, readBuffer)
	c.writer = bufio.NewWriterSize(stallTracker{c}, writeBuffer)
	return c
}

// tracker reads the connection and records that bytes have arrived. Bytes that arrive while the connection is being closed are
// dropped, so that no request is accepted that can no longer be answered.
type tracker struct{ *conn }

func (t tracker) Read(b []byte) (int, error) {
	n, err := t.source.Read(b)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && !t.partial {
		t.partial = true
		if len(t.queue) == 0 {
			t.since = t.server.opts.Clock()
		}
	}
	return n, err
}

// serve is the reader goroutine.
func (c *conn) serve() {
	defer c.end()
	for c.takeRequest() {
	}
}

// takeRequest reads the next request and has it started. It returns false when no further one is to be read.
func (c *conn) takeRequest() bool {
	r, err := c.readRequest()
	var rejected *rejection
	if err != nil && !errors.As(err, &rejected) {
		c.callerLeft()
		return false
	}
	c.startHeld()
	if rejected == nil && c.crowded {
		rejected = &rejection{http.StatusServiceUnavailable, crowdedReason, &c.server.Stats.Crowded}
	}
	if rejected != nil {
		rejected.count.Add(1)
		r = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true, Body: http.NoBody}
	}
	x := newExchange(c, r, rejected)
	if !c.enqueue(x) || !c.awaitRoom(x) {
		x.head.Free()
		c.server.Stats.Unread.Add(1)
		return false
	}
	if x.body == nil {
		c.hold(x)
		return !lastOfConnection(r)
	}
	x.start()
	<-x.body.ended
	c.headBoundary()
	return x.body.whole.Load() && !lastOfConnection(r)
}

// enqueue adds a request to the queue, unless the connection takes up no further ones.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.closed || c.stopping && len(c.queue) > 0 {
		return false
	}
	if len(c.queue) == 0 {
		close(x.turn)
	}
	c.queue = append(c.queue, x)
	c.partial = c.reader.Buffered() > 0 || x.body != nil
	return true
}

// headBoundary records that the bytes read so far belong to requests of the queue, but for those in the buffer.
func (c *conn) headBoundary() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = c.reader.Buffered() > 0
	if len(c.queue) == 0 {
		c.since = c.server.opts.Clock()
	}
}

// awaitRoom waits until a request of the queue may be started: when it is the oldest, or behind others within the bounds. A
// request with a body becomes the oldest first, because nothing can be read ahead of its body. It returns false when the caller
// has left or the connection ends.
func (c *conn) awaitRoom(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRoom(x) {
		return true
	}
	c.server.Stats.Held.Add(1)
	return c.await(func() bool { return c.hasRoom(x) })
}

// hasRoom reports whether the newest request of the queue may be started. c.mu is held on entry.
func (c *conn) hasRoom(x *exchange) bool {
	switch {
	case c.queue[0] == x:
		return true
	case x.body != nil || len(c.queue) > maxInProgress:
		return false
	}
	x.ahead = c.server.takeAhead()
	if x.ahead {
		c.server.Stats.Ahead.Add(1)
	}
	return x.ahead
}

// await waits until the condition holds, and returns false when the caller leaves or the connection ends before. Meanwhile it
// reads bytes into the buffer while that has room, because only reading tells that the caller has left. c.mu is held on entry
// and on return.
func (c *conn) await(condition func() bool) bool {
	for !condition() {
		if c.closed || c.ctx.Err() != nil {
			return false
		}
		if c.reader.Buffered() == readBuffer {
			c.changed.Wait()
			continue
		}
		c.watching = true
		c.mu.Unlock()
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		c.mu.Lock()
		c.watching = false
		_ = c.SetReadDeadline(time.Time{}) // fails only for a closed connection, whose next read fails as well
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return true
}

// hold keeps a request without a body back until the reader is about to wait for bytes or has read the next request. A caller
// that has left meanwhile is noticed before anything is done for its request.
func (c *conn) hold(x *exchange) {
	c.mu.Lock()
	c.held = x
	c.mu.Unlock()
	if c.source.raw == nil || lastOfConnection(x.request) {
		c.startHeld()
	}
}

// startHeld starts the request that is held back, if any.
func (c *conn) startHeld() {
	c.mu.Lock()
	x := c.held
	c.held = nil
	c.mu.Unlock()
	if x != nil {
		x.start()
	}
}

// callerLeft cancels the requests in progress and drops the one that has not been started.
func (c *conn) callerLeft() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.held; x != nil {
		c.held = nil
		c.removeLocked(x)
		c.server.Stats.Unread.Add(1)
	}
}

// end waits until all requests have been answered and closes the connection.
func (c *conn) end() {
	c.startHeld()
	c.mu.Lock()
	if !c.await(func() bool { return len(c.queue) == 0 }) {
		c.cancel()
		c.dropUnstarted()
		for len(c.queue) > 0 {
			c.changed.Wait()
		}
	}
	linger := c.closing && !c.closed && c.ctx.Err() == nil
	if linger {
		c.lingering = c.server.opts.Clock()
	}
	c.mu.Unlock()
	if linger {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails only for a closed connection
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)  // until the caller closes, the deadline or the bound
	}
	c.abort()
	c.freeMemory()
	c.server.remove(c)
}

// dropUnstarted removes the requests from the queue that have not been started. c.mu is held on entry.
func (c *conn) dropUnstarted() {
	for i := len(c.queue) - 1; i >= 0; i-- {
		if x := c.queue[i]; !x.started.Load() {
			c.removeLocked(x)
		}
	}
}

// leaveQueue removes an answered or aborted request from the queue and gives the turn to the next one.
func (c *conn) leaveQueue(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(x)
	if len(c.queue) == 0 {
		c.since = c.server.opts.Clock()
	}
}

// removeLocked is leaveQueue with c.mu held on entry.
func (c *conn) removeLocked(x *exchange) {
	i := slices.Index(c.queue, x)
	if i < 0 {
		return
	}
	c.queue = slices.Delete(c.queue, i, i+1)
	x.head.Free()
	x.leaveAhead()
	if i == 0 && len(c.queue) > 0 {
		c.queue[0].leaveAhead()
		close(c.queue[0].turn)
	}
	if c.watching {
		_ = c.SetReadDeadline(past) // fails only for a closed connection, whose read fails as well
	}
	c.changed.Broadcast()
}

// abort closes the connection and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	c.markClosed()
	c.mu.Unlock()
	c.closeMarked()
}

// endedError returns errConnEnded when the connection has been closed or aborted, and nil otherwise. A caller that has only
// ended its sending side still gets answers.
func (c *conn) endedError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errConnEnded
	}
	return nil
}
