package front

import (
	"net"
	"net/http"
	"sync"
)

// Conns keeps track of callers' connections, so that a planned stop closes those without a request and no other. The
// server's own closing of idle connections may meet a request that it has just read, and cut it.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]*trackedConn
}

// NewConns returns an empty set.
func NewConns() *Conns { return &Conns{open: make(map[net.Conn]*trackedConn)} }

// trackedConn is a caller's connection.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	busy   bool // bytes of a request have been read that has not been answered
	closed bool // by CloseIdle; what is read afterwards is not passed on
}

// Read reads from the connection. Bytes that arrive while CloseIdle closes the connection are dropped: their request has
// not been taken.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// closeIdle closes the connection unless a request is in progress.
func (c *trackedConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.closed = true
		c.Conn.Close()
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
	t := &trackedConn{Conn: c}
	l.conns.mu.Lock()
	l.conns.open[t] = t
	l.conns.mu.Unlock()
	return t, nil
}

// State follows the states of the server's connections; set it as http.Server.ConnState.
func (s *Conns) State(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	t := s.open[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
	}
	s.mu.Unlock()
	if t != nil && state == http.StateIdle {
		t.mu.Lock()
		t.busy = false
		t.mu.Unlock()
	}
}

// CloseIdle closes the connections without a request and returns how many others there are.
func (s *Conns) CloseIdle() (busy int) {
	s.mu.Lock()
	list := make([]*trackedConn, 0, len(s.open))
	for _, t := range s.open {
		list = append(list, t)
	}
	s.mu.Unlock()
	for _, t := range list {
		t.closeIdle()
		t.mu.Lock()
		if !t.closed {
			busy++
		}
		t.mu.Unlock()
	}
	return busy
}
