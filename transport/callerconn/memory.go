package callerconn

import (
	"io"
	"net"
	"time"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

const (
	// connCost is what an open connection needs besides heads and requests, in bytes: its two buffers, the stack of its reader
	// goroutine, a head of up to readBuffer bytes, and its unread bytes.
	connCost = 24<<10 + receiveBuffer
	// headFactor is the memory that a byte of a head takes beyond the first readBuffer bytes: a header line of 6 bytes takes up
	// to 40 as a string and an entry of a slice or map, besides what the garbage collector has not freed yet.
	headFactor = 8
	// bodyStallTime is how long a caller may send nothing of a body that is waited for. It is longer than the deadline of any
	// request, so that such a request could not be served any more.
	bodyStallTime = 15 * time.Second
	// progressStep is the number of bytes of a body that count as progress when the memory is used up: with 4 KiB, a crowd that sent
	// bodies of the usual size in pieces held the memory until their timeout.
	progressStep = 64 << 10
	// lingerBytes bounds what is read and dropped after the last answer, besides lingerTime, in which a link of 200 Mbit/s carries
	// 12.5 MB.
	lingerBytes = 16 << 20
	// minWait is how long a connection must have waited for a request before it is closed for others: the request may be there already.
	minWait = 50 * time.Millisecond
	// maxRefusals bounds the connections, beyond MaxConns or the memory, that are only kept until their request has been refused.
	maxRefusals = 32
	// busyRetryAfter is the Retry-After of a request that is refused for lack of memory.
	busyRetryAfter = "1.00"
)

// bodyWait records how a caller sends the body that is waited for. conn.mu guards it.
type bodyWait struct {
	active  bool          // a read is in progress
	last    state.Instant // start of the read in progress
	since   state.Instant // when the last progressStep bytes began
	moved   int           // bytes since then
	expired bool          // the caller has sent nothing for bodyStallTime
}

// bodyReader reads a body from the connection and records its progress.
type bodyReader struct {
	*conn
	source io.Reader
}

func (r bodyReader) Read(p []byte) (int, error) {
	r.beginWait()
	n, err := r.source.Read(p)
	r.endWait(n)
	return n, err
}

// resetWait begins the body of a new request.
func (c *conn) resetWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait = bodyWait{}
}

func (c *conn) beginWait() {
	now := c.server.opts.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.wait
	w.active, w.last = true, now
	if w.since == 0 || w.moved >= progressStep {
		w.since, w.moved = now, 0
	}
}

func (c *conn) endWait(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.active = false
	c.wait.moved += n
}

// Stalled returns what the connection waits for.
func (c *conn) Stalled() membudget.Stall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled()
}

// stalled is Stalled with c.mu held on entry. A connection whose caller accepts no bytes is closed for others even when its last
// answer is being sent.
func (c *conn) stalled() membudget.Stall {
	switch {
	case c.closed:
	case c.writing != 0:
		return membudget.Stall{Waiting: membudget.ForCaller, Since: c.writing}
	case c.lingering != 0:
		return membudget.Stall{Waiting: membudget.ForClose, Since: c.lingering}
	case c.closing:
	case len(c.queue) == 0 && c.server.opts.Clock().Sub(c.since) >= minWait:
		return membudget.Stall{Waiting: membudget.ForRequest, Since: c.since}
	case c.wait.active:
		return membudget.Stall{Waiting: membudget.ForCaller, Since: c.wait.since}
	}
	return membudget.Stall{}
}

// Evict closes the connection unless it does not wait for its caller any more.
func (c *conn) Evict() bool {
	now := c.server.opts.Clock()
	c.mu.Lock()
	evicted := c.stalled().MayClose(now)
	if evicted {
		c.cancel()
		c.markClosed()
	}
	c.mu.Unlock()
	if evicted {
		c.closeMarked()
		c.server.remove(c)
	}
	return evicted
}

// expireBody ends the read of a body whose caller sends nothing. c.mu is held on entry.
func (c *conn) expireBody(now state.Instant) {
	if !c.wait.active || c.wait.expired || now.Sub(c.wait.last) <= bodyStallTime {
		return
	}
	c.wait.expired = true
	c.server.Stats.SlowBodies.Add(1)
	_ = c.SetReadDeadline(past) // fails only for a closed connection, whose read fails as well
}

// chargeHead reserves the memory for n bytes of a head that have been read.
func (c *conn) chargeHead(n int) bool {
	if c.head == nil {
		c.head = c.account.Hold(membudget.Arriving)
	}
	return c.head.Reserve(int64(n) * headFactor)
}

// freeMemory releases what the connection holds besides its requests.
func (c *conn) freeMemory() {
	c.head.Free()
	c.base.Free()
	c.received.Free()
	if c.crowded {
		c.server.refusals.Add(-1)
	}
	c.account.Close()
}

// admit returns the connection of a new caller, whose memory is reserved. With MaxConns connections open, it closes the one that has
// been idle for longest. When there is no room within maxAdmissionTime, the connection is one of maxRefusals whose request is
// answered with a refusal; with as many already, it is closed, and admit returns nil.
func (s *Server) admit(nc net.Conn) *conn {
	c := s.add(nc)
	if s.awaitRoom(c) {
		return c
	}
	if s.refusals.Add(1) <= maxRefusals {
		c.crowded = true
		c.base.Add(connCost)
		return c
	}
	s.refusals.Add(-1)
	s.Stats.Crowded.Add(1)
	c.abort()
	c.freeMemory()
	s.remove(c)
	return nil
}

// awaitRoom reserves the memory of a new connection, and waits up to maxAdmissionTime for room. After a wait in vain, it does not wait
// again for as long. The goroutine that accepts connections calls it.
func (s *Server) awaitRoom(c *conn) bool {
	for start := time.Now(); ; time.Sleep(acceptPause) {
		c.touch()
		if s.hasRoom() && c.base.Reserve(connCost) {
			return true
		}
		if start.Before(s.noWaitUntil) {
			return false
		}
		if now := time.Now(); now.Sub(start) >= maxAdmissionTime {
			s.noWaitUntil = now.Add(maxAdmissionTime)
			return false
		}
	}
}

// touch makes the connection the one that has waited for a request for the shortest time.
func (c *conn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = c.server.opts.Clock()
}

// hasRoom reports whether no more than MaxConns connections are open, and closes one when there are more.
func (s *Server) hasRoom() bool {
	return s.opts.MaxConns == 0 || s.count() <= s.opts.MaxConns || s.closeLongestIdle()
}

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// closeLongestIdle closes the connection that has been idle for longest. It returns false when there is none.
func (s *Server) closeLongestIdle() bool {
	open := s.list()
	stalls := make([]membudget.Stall, len(open))
	for i, c := range open {
		stalls[i] = c.Stalled()
	}
	i := membudget.LongestIdle(stalls, s.opts.Clock())
	if i < 0 || !open[i].Evict() {
		return false
	}
	s.Stats.Displaced.Add(1)
	return true
}
