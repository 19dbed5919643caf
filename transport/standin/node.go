package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxUnresponsive is how long a read of an unresponsive connection blocks before it fails, so that the connection does
	// not stay open indefinitely.
	maxUnresponsive = 10 * time.Minute
	// sendBufferSize is the size of the kernel's send buffer in bytes. Bytes in it count as sent over the link although
	// they may not have crossed it yet.
	sendBufferSize = 16 << 10
)

// node is one listening address with its HTTP server, which can be stopped and started again to simulate a crash.
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

// start begins to listen and serve; it does nothing when the node already listens.
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
	_ = s.Close() // ignores errors, since a crash is simulated
	for c := range open {
		_ = c.Close()
	}
}

// setUnresponsive makes the share of the open connections stop reading and answering, without closing them. It returns
// their number.
func (n *node) setUnresponsive(a *activeFault) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if !c.unresponsive.Load() && a.triggers() {
			c.unresponsive.Store(true)
			count++
		}
	}
	return count
}

func (n *node) openConns() int {
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

// Accept implements net.Listener. It closes connections above the limit and counts them as refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferSize) // ignores errors: a larger buffer only makes byte counts less even
		}
		c := &conn{Conn: raw, node: l.node, closed: make(chan struct{})}
		if l.node.add(c) {
			return c, nil
		}
		l.node.refused.Add(1)
		_ = raw.Close()
	}
}

// conn is a connection that can be made unresponsive.
type conn struct {
	net.Conn
	node         *node
	unresponsive atomic.Bool
	readStarted  atomic.Bool
	closeOnce    sync.Once
	closed       chan struct{}
}

// Read implements net.Conn. On an unresponsive connection it blocks until the connection is closed or maxUnresponsive has
// passed.
func (c *conn) Read(p []byte) (int, error) {
	if c.node.connectCost > 0 && !c.readStarted.Swap(true) {
		time.Sleep(c.node.connectCost)
	}
	if !c.unresponsive.Load() {
		n, err := c.Conn.Read(p)
		if !c.unresponsive.Load() || err != nil {
			return n, err
		}
	}
	t := time.NewTimer(maxUnresponsive)
	defer t.Stop()
	select {
	case <-c.closed:
	case <-t.C:
	}
	return 0, net.ErrClosed
}

// Write implements net.Conn. An unresponsive connection discards the data, so that the handler can end and free its slot.
func (c *conn) Write(p []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.node.remove(c)
	})
	return c.Conn.Close()
}
