package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// testTimeout is how long a test waits for something that happens within milliseconds.
const testTimeout = 10 * time.Second

// callerConn lets tests name the type where a variable is called conn.
type callerConn = conn

// callerServer is a server whose clock a test sets.
type callerServer struct {
	*WithT
	*Server
	now     atomic.Int64
	address string
}

// newCallerServer starts a server whose requests wait until release is closed.
func newCallerServer(t *testing.T, release <-chan struct{}) *callerServer {
	t.Helper()
	return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "served")
	}))
}

// startServer starts a server with a handler and further options.
func startServer(t *testing.T, handler http.Handler, options ...func(*Options)) *callerServer {
	t.Helper()
	c := &callerServer{WithT: NewWithT(t)}
	c.now.Store(int64(time.Hour))
	opts := Options{
		Handler: handler, Clock: func() state.Instant { return state.Instant(c.now.Load()) }, Log: hclog.NewNullLogger(),
		MaxHeader: 8 << 10, MaxAhead: 40,
	}
	for _, set := range options {
		set(&opts)
	}
	c.Server = NewServer(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	go func() { _ = c.Serve(ln) }() // ends when the listener is closed
	t.Cleanup(func() {
		ln.Close()
		for _, open := range c.list() {
			open.abort()
		}
	})
	c.address = ln.Addr().String()
	return c
}

func (c *callerServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.address)
	c.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	return conn
}

// request sends a request on a new connection and waits until the server has read its header.
func (c *callerServer) request(t *testing.T) net.Conn {
	t.Helper()
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *callerConn) bool { return len(t.queue) == 1 && t.held == nil })
	return conn
}

// await waits until the state of the only connection satisfies the condition.
func (c *callerServer) await(condition func(*callerConn) bool) {
	c.Eventually(func() bool {
		list := c.list()
		if len(list) == 0 {
			return false
		}
		list[0].mu.Lock()
		defer list[0].mu.Unlock()
		return condition(list[0])
	}, testTimeout).Should(BeTrue())
}

// expire advances the clock and closes the connections that exceed the limits: 3 s for a header, 15 s idle.
func (c *callerServer) expire(after time.Duration) {
	c.now.Add(int64(after))
	c.Expire(routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
}

// Guards against callers that occupy a connection with a header that never ends, and against closing the connection while the
// header is still within its time.
func TestSlowHeaderIsClosed(t *testing.T) {
	c := newCallerServer(t, nil)
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *callerConn) bool { return t.partial })
	c.expire(2 * time.Second)
	c.Expect(c.Stats.SlowHeaders.Load()).To(BeZero())
	c.expire(2 * time.Second)
	c.Expect(c.Stats.SlowHeaders.Load()).To(Equal(uint64(1)))
	_, err = conn.Read(make([]byte, 1))
	c.Expect(err).To(HaveOccurred())
}

// Guards against idle connections that stay open forever, and against aborting a request that takes long.
func TestIdleConnectionIsClosedAndABusyOneIsNot(t *testing.T) {
	release := make(chan struct{})
	c := newCallerServer(t, release)
	conn := c.request(t)
	c.expire(time.Minute)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Eventually(func() bool {
		c.expire(16 * time.Second)
		return c.Stats.Idle.Load() == 1
	}, testTimeout).Should(BeTrue())
	c.Eventually(c.list, testTimeout).Should(BeEmpty())
}

// Guards against a planned stop that aborts a request in progress.
func TestPlannedStopLeavesBusyConnections(t *testing.T) {
	release := make(chan struct{})
	c := newCallerServer(t, release)
	conn := c.request(t)
	c.Expect(c.CloseIdle()).To(Equal(1))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Eventually(c.CloseIdle, testTimeout).Should(BeZero())
}

// lateConn is a connection whose Read returns bytes although it has been closed meanwhile.
type lateConn struct{ net.Conn }

func (lateConn) Read(b []byte) (int, error) { return copy(b, "GET / HTTP/1.1\r\n"), nil }
func (lateConn) Close() error               { return nil }

// Guards against a request that is accepted while its idle connection is being closed, so that it can no longer be answered.
func TestBytesReadDuringCloseAreDropped(t *testing.T) {
	g := NewWithT(t)
	s := NewServer(Options{Clock: func() state.Instant { return 0 }})
	c := s.add(lateConn{})
	c.closeIdle()
	n, err := tracker{c}.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(n).To(BeZero())
}

// scarceListener fails once for lack of descriptors, then accepts.
type scarceListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it is out of descriptors for a moment.
func TestShortageOfDescriptorsPasses(t *testing.T) {
	release := make(chan struct{})
	close(release)
	c := newCallerServer(t, release)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- c.Serve(&scarceListener{Listener: ln}) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.Body.Close()).To(Succeed())
	c.Expect(c.Stats.AcceptFailed.Load()).To(Equal(uint64(1)))
	ln.Close()
	c.Eventually(served, testTimeout).Should(Receive(HaveOccurred()))
}
