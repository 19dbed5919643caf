package callerconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// startBounded starts a server with a memory budget and a bound on connections.
func startBounded(t *testing.T, handler http.Handler, budget int64, conns int) *callerServer {
	t.Helper()
	return startServer(t, handler, func(o *Options) {
		o.Budget, o.MaxConns, o.MaxHeader = membudget.New(budget, o.Clock), conns, 64<<10
	})
}

// used returns the bytes that are reserved.
func (c *callerServer) used() int64 { return c.opts.Budget.Stats.Used.Load() }

// Guards against a body that is waited for without end, against giving up one that makes progress, and against a connection that
// stays open afterwards.
func TestBodyWithoutProgressIsGivenUp(t *testing.T) {
	failed := make(chan error, 1)
	c := startBounded(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
		w.WriteHeader(http.StatusRequestTimeout)
	}), 1<<20, 0)
	conn := c.dial(t)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	for i := range 4 { // for longer than bodyStallTime
		c.await(func(t *callerConn) bool {
			return t.wait.active && t.wait.moved == i && t.wait.last == state.Instant(c.now.Load())
		})
		c.expire(bodyStallTime - time.Second)
		c.Expect(c.Stats.SlowBodies.Load()).To(BeZero())
		_, err = conn.Write([]byte("x"))
		c.Expect(err).NotTo(HaveOccurred())
	}
	c.await(func(t *callerConn) bool { return t.wait.active && t.wait.moved == 4 })
	c.expire(bodyStallTime + time.Second)
	c.Eventually(failed, testTimeout).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
	c.Expect(c.Stats.SlowBodies.Load()).To(Equal(uint64(1)))
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	c.Expect(resp.Close).To(BeTrue())
	_, err = io.Copy(io.Discard, resp.Body)
	c.Expect(err).NotTo(HaveOccurred())
	_, err = reader.ReadByte()
	c.Expect(err).To(Equal(io.EOF))
	conn.Close()
	c.Eventually(c.used, testTimeout).Should(BeZero())
}

// Guards against a caller that does not read the last answer of its connection and holds it for any time.
func TestUnreadLastAnswerIsAborted(t *testing.T) {
	c := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, io.LimitReader(zeros{}, 64<<20)) // fails when the connection is closed
	}))
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *callerConn) bool { return t.closing && t.writing != 0 })
	c.Eventually(func() uint64 {
		c.expire(maxWriteTime + time.Second)
		return c.Stats.SlowReaders.Load()
	}, testTimeout).Should(Equal(uint64(1)))
	c.Eventually(c.list, testTimeout).Should(BeEmpty())
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a connection that is closed while its reader is about to wait: both then waited for each other, and with them the
// goroutine that accepts connections, so that the process answered nobody any more.
func TestConnectionIsClosedWhileItsReaderBeginsToWait(t *testing.T) {
	c := startBounded(t, http.NotFoundHandler(), 1<<20, 0)
	caller, nc := tcpPair(t)
	defer caller.Close()
	conn := c.add(nc)
	entered, proceed := make(chan struct{}), make(chan struct{})
	beforeWait := conn.source.beforeWait
	conn.source.beforeWait = func() {
		close(entered)
		<-proceed
		beforeWait()
	}
	go conn.serve()
	c.Eventually(entered, testTimeout).Should(BeClosed())
	c.now.Add(int64(minWait))
	evicted := make(chan bool, 1)
	go func() { evicted <- conn.Evict() }()
	time.Sleep(50 * time.Millisecond) // until it closes the connection
	close(proceed)
	c.Eventually(evicted, testTimeout).Should(Receive(BeTrue()))
	c.Eventually(c.used, testTimeout).Should(BeZero())
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	caller, err = net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err = ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return caller, accepted
}

// Guards against connections without bound, against closing one whose request is in progress for a new one, and against closing
// any other than the one that has been idle for longest.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	c := startBounded(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started.Add(1)
		<-release
	}), 1<<20, 3)
	busy := c.request(t)
	var idle []net.Conn
	for n := range 2 {
		c.now.Add(int64(time.Second))
		idle = append(idle, c.dial(t))
		c.Eventually(c.list, testTimeout).Should(HaveLen(n + 2))
	}
	last := c.dial(t)
	_, err := idle[0].Read(make([]byte, 1))
	c.Expect(err).To(HaveOccurred())
	c.Eventually(c.Stats.Displaced.Load, testTimeout).Should(Equal(uint64(1)))
	for _, waiting := range []net.Conn{idle[1], last} {
		_, err = io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Expect(err).NotTo(HaveOccurred())
	}
	c.Eventually(started.Load, testTimeout).Should(BeEquivalentTo(3))
	crowded := c.request(t)
	resp, err := http.ReadResponse(bufio.NewReader(crowded), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	c.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	c.Expect(resp.Close).To(BeTrue())
	c.Expect(c.Stats.Crowded.Load()).To(Equal(uint64(1)))
	c.Expect(started.Load()).To(BeEquivalentTo(3))
	close(release)
	resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against heads that are held without bound, against a refusal without Retry-After, and against memory that stays reserved.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	c := startBounded(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 180<<10, 0)
	conn := c.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a: b\r\n", 3000)+"\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK), "the head takes %d bytes besides %d of the connection", (18000-readBuffer)*headFactor, connCost)
	c.Expect(resp.Body.Close()).To(Succeed())
	c.Eventually(c.used, testTimeout).Should(BeEquivalentTo(connCost))

	other := c.opts.Budget.Open(neverIdle{}).Hold(membudget.Small)
	c.Expect(other.Reserve(100 << 10)).To(BeTrue())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a: b\r\n", 3000)+"\r\n")
	c.Expect(err).NotTo(HaveOccurred())
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	c.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	c.Expect(resp.Close).To(BeTrue())
	c.Expect(c.Stats.NoMemory.Load()).To(Equal(uint64(1)))
	conn.Close()
	other.Free()
	c.Eventually(c.used, testTimeout).Should(BeZero())
}

type neverIdle struct{}

func (neverIdle) Stalled() membudget.Stall { return membudget.Stall{} }
func (neverIdle) Evict() bool              { return false }

// Guards against closing a connection whose request runs at a server, or whose caller makes progress, to make room for another.
func TestEvictSparesWhatMakesProgress(t *testing.T) {
	release, read := make(chan struct{}), make(chan error, 1)
	c := startBounded(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
		<-release
	}), 1<<20, 0)
	conn := c.dial(t)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *callerConn) bool { return t.wait.active && t.wait.moved == 1 })
	c.now.Add(int64(membudget.MinStall - 1))
	c.Expect(c.list()[0].Evict()).To(BeFalse())
	_, err = conn.Write([]byte("x"))
	c.Expect(err).NotTo(HaveOccurred())
	c.Eventually(read, testTimeout).Should(Receive(BeNil()))
	c.now.Add(int64(time.Hour))
	c.Expect(c.list()[0].Evict()).To(BeFalse())
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))

	slow := c.dial(t)
	c.Eventually(c.list, testTimeout).Should(HaveLen(2))
	conn.Close()
	c.Eventually(c.list, testTimeout).Should(HaveLen(1))
	_, err = io.WriteString(slow, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx")
	c.Expect(err).NotTo(HaveOccurred())
	c.await(func(t *callerConn) bool { return t.wait.active && t.wait.moved == 1 })
	c.now.Add(int64(membudget.MinStall))
	c.Expect(c.list()[0].Evict()).To(BeTrue())
	c.Eventually(read, testTimeout).Should(Receive(Satisfy(func(err error) bool { return err != nil && !errors.Is(err, io.EOF) })))
	c.Eventually(c.used, testTimeout).Should(BeZero())
}
