package callerconn

import (
	"net"

	"golang.org/x/sys/unix"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// idle reports whether the connection carries no request. c.mu is held on entry.
func (c *conn) idle() bool { return len(c.queue) == 0 && !c.partial }

// closeIdle closes the connection unless it carries a request. It reports whether the connection is closed.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	if c.idle() {
		c.markClosed()
	}
	c.mu.Unlock()
	return c.closeMarked()
}

// markClosed records that the connection is closed, so that it takes up no further requests. closeMarked follows. c.mu is held on
// entry.
func (c *conn) markClosed() {
	c.closed = true
	c.changed.Broadcast()
}

// closeMarked closes a connection that is marked as closed, which ends its reader goroutine. It reports whether it is. c.mu is not
// held: Close waits for a read in progress, which may wait for c.mu (see source).
func (c *conn) closeMarked() bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.Conn.Close()
	}
	return closed
}

// expire closes the connection when it exceeds a limit, and counts which one.
func (c *conn) expire(now state.Instant, limits routing.Limits) {
	c.mu.Lock()
	c.markExpired(now, limits)
	c.mu.Unlock()
	c.closeMarked()
}

// markExpired is expire without closing the connection. c.mu is held on entry.
func (c *conn) markExpired(now state.Instant, limits routing.Limits) {
	stats := &c.server.Stats
	age := now.Sub(c.since)
	switch {
	case c.closed:
	case c.writing != 0 && now.Sub(c.writing) > maxWriteTime:
		stats.SlowReaders.Add(1)
		c.cancel()
		c.markClosed()
	case c.closing:
	case len(c.queue) > 0:
		if c.leftWithinBody(c.queue[0]) {
			stats.LeftInBody.Add(1)
			c.cancel()
		}
		c.expireBody(now)
	case !c.partial && limits.IdleTimeout > 0 && age > limits.IdleTimeout:
		stats.Idle.Add(1)
		c.markClosed()
	case c.partial && limits.HeaderTimeout > 0 && age > limits.HeaderTimeout:
		stats.SlowHeaders.Add(1)
		c.markClosed()
	}
}

// leftWithinBody reports whether the caller has left before the end of a request's body. While the server reads nothing, neither does
// the connection, so that this does not show otherwise. A caller that has ended its sending side after the whole body has not left.
// c.mu is held on entry.
func (c *conn) leftWithinBody(x *exchange) bool {
	if c.source.raw == nil || x.body == nil || x.body.whole.Load() || c.ctx.Err() != nil {
		return false
	}
	var info *unix.TCPInfo
	var unread int
	var infoErr, unreadErr error
	err := c.source.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unread, unreadErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	switch {
	case err != nil || infoErr != nil || unreadErr != nil:
		return false // the connection has been closed here
	case info.State == unix.BPF_TCP_CLOSE:
		return true // the caller has reset it
	case info.State != unix.BPF_TCP_CLOSE_WAIT || x.request.ContentLength < 0:
		return false // what is left of a chunked body is not known
	}
	return x.request.ContentLength-x.body.count.Load() > int64(unread)+readBuffer
}

// maxPiece is the max number of bytes of one write, whose time maxWriteTime bounds: a caller that reads slowly makes progress.
const maxPiece = 64 << 10

// stallTracker writes to the connection and records when a piece was begun, so that expire finds callers that do not read.
type stallTracker struct{ *conn }

func (g stallTracker) Write(b []byte) (written int, err error) {
	defer g.setWriting(0)
	for len(b) > 0 && err == nil {
		var n int
		g.setWriting(g.server.opts.Clock())
		n, err = g.Conn.Write(b[:min(len(b), maxPiece)])
		written += n
		b = b[n:]
	}
	return written, err
}

func (c *conn) setWriting(at state.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = at
}

// endWithReset sets whether the connection is reset when it is closed, for whatever reason. An answer without a length that ends early
// would look complete otherwise.
func (c *conn) endWithReset(reset bool) {
	linger := -1 // the usual end
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // fails only for a connection that has been closed
	}
}

// closeAfterAnswer ends the sending side after the last answer. The reader goroutine reads on for lingerTime at most.
func (c *conn) closeAfterAnswer() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only for a connection that the caller has reset
	}
}
