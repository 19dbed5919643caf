package front

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Conns tracks callers' connections, so that a planned stop and the limits of the routing table close only those without a
// complete request. When http.Server closes idle connections itself, it may abort a request that it has just read.
type Conns struct {
	clock func() state.Instant
	Stats ConnsStats

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// ConnsStats counts callers' connections that were closed because of the routing table's limits.
type ConnsStats struct {
	Idle        atomic.Uint64 // idle for longer than the limit
	SlowHeaders atomic.Uint64 // the header of a request was not complete within the limit
}

// NewConns returns an empty set.
func NewConns(clock func() state.Instant) *Conns {
	return &Conns{clock: clock, open: make(map[*trackedConn]struct{})}
}

// trackedConn is a caller's connection.
type trackedConn struct {
	net.Conn
	clock      func() state.Instant
	mu         sync.Mutex
	busy       bool          // bytes of a request have been read that has not been answered
	headerRead bool          // the header of that request has been read
	since      state.Instant // when busy changed last
	closed     bool          // by this package; bytes read afterwards are dropped
}

// Read reads from the connection. Bytes that arrive while the connection is being closed are dropped, so that no request is
// accepted that can no longer be answered.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.busy {
		c.busy, c.since = true, c.clock()
	}
	return n, err
}

// closeIdle closes the connection unless it is busy.
func (c *trackedConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.close()
	}
}

// close closes the connection. c.mu is held on entry.
func (c *trackedConn) close() {
	c.closed = true
	c.Conn.Close()
}

// expire closes the connection when it exceeds a limit, and counts which one.
func (c *trackedConn) expire(now state.Instant, limits routing.Limits, stats *ConnsStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case c.closed:
	case !c.busy && limits.IdleTimeout > 0 && age > limits.IdleTimeout:
		stats.Idle.Add(1)
		c.close()
	case c.busy && !c.headerRead && limits.HeaderTimeout > 0 && age > limits.HeaderTimeout:
		stats.SlowHeaders.Add(1)
		c.close()
	}
}

// Listener returns a listener whose connections are tracked.
func (s *Conns) Listener(ln net.Listener) net.Listener { return &trackedListener{ln, s} }

type trackedListener struct {
	net.Listener
	conns *Conns
}

func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, clock: l.conns.clock, since: l.conns.clock()}
	l.conns.mu.Lock()
	l.conns.open[t] = struct{}{}
	l.conns.mu.Unlock()
	return t, nil
}

// ConnState records the state changes of the server's connections; set it as http.Server.ConnState.
func (s *Conns) ConnState(c net.Conn, newState http.ConnState) {
	t, ok := c.(*trackedConn)
	if !ok {
		return // not accepted by a Listener of this set
	}
	if newState == http.StateClosed || newState == http.StateHijacked {
		s.mu.Lock()
		delete(s.open, t)
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch newState {
	case http.StateActive:
		t.headerRead = true
	case http.StateIdle:
		t.busy, t.headerRead, t.since = false, false, s.clock()
	}
}

// list returns the open connections.
func (s *Conns) list() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// Expire closes the connections that exceed the limits on idle time and on the time for a request's header.
func (s *Conns) Expire(limits routing.Limits) {
	now := s.clock()
	for _, t := range s.list() {
		t.expire(now, limits, &s.Stats)
	}
}

// CloseIdle closes the connections without a request and returns the number of connections that stay open.
func (s *Conns) CloseIdle() (busy int) {
	for _, t := range s.list() {
		t.closeIdle()
		t.mu.Lock()
		if !t.closed {
			busy++
		}
		t.mu.Unlock()
	}
	return busy
}
