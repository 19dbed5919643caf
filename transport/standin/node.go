package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a node's connections.
const (
	silentLimit = 10 * time.Minute // after which a silent connection is closed, so that it does not stay for ever
	writeBuffer = 16 << 10         // bytes of the kernel's send buffer, which count as carried although they have not crossed the link
)

// node is one listening address whose process can crash and return.
type node struct {
	address     string
	handler     http.Handler
	maxConns    int           // 0 means no limit
	connectCost time.Duration // time before the first byte of a new connection is read

	mu      sync.Mutex
	server  *http.Server // nil while stopped
	conns   map[*conn]struct{}
	refused atomic.Uint64 // connections above maxConns
}

// start listens; it does nothing when the node already listens.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server != nil {
		return nil
	}
	ln, err := net.Listen("tcp", n.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	n.address = ln.Addr().String()
	n.conns = make(map[*conn]struct{})
	n.server = &http.Server{Handler: n.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(s *http.Server) { _ = s.Serve(&listener{Listener: ln, node: n}) }(n.server)
	return nil
}

// stop closes the listener and all connections at once.
func (n *node) stop() {
	n.mu.Lock()
	s := n.server
	n.server = nil
	open := n.conns
	n.conns = nil
	n.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close() // errors of closing do not matter: the process is meant to be gone
	for c := range open {
		_ = c.Close()
	}
}

// silence makes a share of the open connections stop answering and reading without a sign. It returns their number.
func (n *node) silence(a *active) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if !c.silent.Load() && a.hit() {
			c.silent.Store(true)
			count++
		}
	}
	return count
}

func (n *node) open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// add registers a connection; it returns false above the limit or when the node has stopped.
func (n *node) add(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil || (n.maxConns > 0 && len(n.conns) >= n.maxConns) {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *node) remove(c *conn) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

type listener struct {
	net.Listener
	node *node
}

// Accept refuses connections above the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(writeBuffer) // a larger buffer only makes byte counts less even
		}
		c := &conn{Conn: raw, node: l.node, closed: make(chan struct{})}
		if l.node.add(c) {
			return c, nil
		}
		l.node.refused.Add(1)
		_ = raw.Close()
	}
}

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	node   *node
	silent atomic.Bool
	begun  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. A silent connection returns nothing until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	if c.node.connectCost > 0 && !c.begun.Swap(true) {
		time.Sleep(c.node.connectCost)
	}
	if !c.silent.Load() {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
	}
	t := time.NewTimer(silentLimit)
	defer t.Stop()
	select {
	case <-c.closed:
	case <-t.C:
	}
	return 0, net.ErrClosed
}

// Write implements net.Conn. A silent connection drops what is written, so that a handler can end and free its slot.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.node.remove(c)
	})
	return c.Conn.Close()
}
