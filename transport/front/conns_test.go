package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// patience is how long a test waits for something that happens within milliseconds.
const patience = 10 * time.Second

// callers is a server of callers whose clock a test sets.
type callers struct {
	*WithT
	conns   *Conns
	now     atomic.Int64
	address string
}

// newCallers starts a server whose requests wait until release is closed.
func newCallers(t *testing.T, release <-chan struct{}) *callers {
	t.Helper()
	c := &callers{WithT: NewWithT(t)}
	c.conns = NewConns(func() state.Instant { return state.Instant(c.now.Load()) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{ConnState: c.conns.State, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "served")
	})}
	go func() { _ = server.Serve(c.conns.Listener(ln)) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	c.address = ln.Addr().String()
	return c
}

func (c *callers) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.address)
	c.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	return conn
}

// request sends a request on a new connection and waits until it is handled.
func (c *callers) request(t *testing.T) net.Conn {
	t.Helper()
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *trackedConn) bool { return t.handled })
	return conn
}

// await waits until the only connection is in a state.
func (c *callers) await(state func(*trackedConn) bool) {
	c.Eventually(func() bool {
		list := c.conns.list()
		if len(list) == 0 {
			return false
		}
		list[0].mu.Lock()
		defer list[0].mu.Unlock()
		return state(list[0])
	}, patience).Should(BeTrue())
}

// expire lets time pass and closes what breaks the limits.
func (c *callers) expire(after time.Duration) {
	c.now.Add(int64(after))
	c.conns.Expire(routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
}

// Guards against callers that hold a connection with a header that never ends, and against a cut of those that are in time.
func TestSlowHeaderIsClosed(t *testing.T) {
	c := newCallers(t, nil)
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *trackedConn) bool { return t.busy })
	c.expire(2 * time.Second)
	c.Expect(c.conns.Stats.SlowHeaders.Load()).To(BeZero())
	c.expire(2 * time.Second)
	c.Expect(c.conns.Stats.SlowHeaders.Load()).To(Equal(uint64(1)))
	_, err = conn.Read(make([]byte, 1))
	c.Expect(err).To(HaveOccurred())
}

// Guards against idle connections that stay open for ever, and against a cut of a request that takes long.
func TestIdleConnectionIsClosedAndABusyOneIsNot(t *testing.T) {
	release := make(chan struct{})
	c := newCallers(t, release)
	conn := c.request(t)
	c.expire(time.Minute)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Eventually(func() bool {
		c.expire(16 * time.Second)
		return c.conns.Stats.Idle.Load() == 1
	}, patience).Should(BeTrue())
	c.Eventually(c.conns.list, patience).Should(BeEmpty())
}

// Guards against a planned stop that cuts a request in progress.
func TestPlannedStopLeavesBusyConnections(t *testing.T) {
	release := make(chan struct{})
	c := newCallers(t, release)
	conn := c.request(t)
	c.Expect(c.conns.CloseIdle()).To(Equal(1))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Eventually(c.conns.CloseIdle, patience).Should(BeZero())
}

// late is a connection whose read returns bytes although it has been closed meanwhile.
type late struct{ net.Conn }

func (late) Read(b []byte) (int, error) { return copy(b, "GET / HTTP/1.1\r\n"), nil }
func (late) Close() error               { return nil }

// Guards against a request that is taken while its idle connection is closed, and then has no way to be answered.
func TestBytesThatMeetTheCloseAreNotTaken(t *testing.T) {
	g := NewWithT(t)
	c := &trackedConn{Conn: late{}, clock: func() state.Instant { return 0 }}
	c.closeIdle()
	n, err := c.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(n).To(BeZero())
}
