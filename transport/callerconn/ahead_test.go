package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// shortTime is long enough for what must not happen to have happened.
const shortTime = 100 * time.Millisecond

// gate is a handler whose requests wait until the test opens their path, and answer with the path and the body.
type gate struct {
	mu      sync.Mutex
	started []string
	open    map[string]chan struct{}
	ended   []string // requests whose context has ended
}

func newGate() *gate { return &gate{open: make(map[string]chan struct{})} }

func (g *gate) channel(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[path] == nil {
		g.open[path] = make(chan struct{})
	}
	return g.open[path]
}

// release lets the request of a path be answered.
func (g *gate) release(path string) { close(g.channel(path)) }

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path := r.URL.Path
	if path == "/ordered" {
		if w.(interface{ AwaitTurn(context.Context) error }).AwaitTurn(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	g.mu.Lock()
	g.started = append(g.started, path)
	g.mu.Unlock()
	select {
	case <-g.channel(path):
	case <-r.Context().Done():
		g.mu.Lock()
		g.ended = append(g.ended, path)
		g.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	switch path {
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/close":
		w.Header().Set("Connection", "close")
	case "/short":
		w.Header().Set("Content-Length", "1000")
	}
	fmt.Fprintf(w, "%s %s", path, body)
}

func (g *gate) running() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.started...)
}

func (g *gate) cancelled() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.ended...)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// caller is a test's connection.
type caller struct {
	*WithT
	net.Conn
	reader *bufio.Reader
}

func (c *callerServer) caller(t *testing.T, requests ...string) *caller {
	t.Helper()
	conn := c.dial(t)
	_, err := io.WriteString(conn, strings.Join(requests, ""))
	c.Expect(err).NotTo(HaveOccurred())
	return &caller{c.WithT, conn, bufio.NewReader(conn)}
}

// answer reads the next answer, whose body must be want.
func (c *caller) answer(want string) *http.Response {
	resp, err := http.ReadResponse(c.reader, nil)
	c.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(string(body)).To(Equal(want))
	return resp
}

// end reads to the end of the connection, which must hold nothing more.
func (c *caller) end() {
	rest, _ := io.ReadAll(c.reader) // a reset is an end, too
	c.Expect(string(rest)).To(BeEmpty())
}

// Guards against waits that add up: five quick requests behind a slow one must be served while it runs, and answered in order.
func TestRequestsAreServedWhileAnEarlierOneRuns(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	var requests []string
	for i := range 6 {
		requests = append(requests, get(fmt.Sprintf("/%d", i)))
	}
	c := s.caller(t, requests...)
	s.Eventually(g.running, testTimeout).Should(HaveLen(6))
	for i := 5; i >= 0; i-- {
		g.release(fmt.Sprintf("/%d", i))
	}
	for i := range 6 {
		c.answer(fmt.Sprintf("/%d ", i))
	}
	s.Expect(s.ahead.Load()).To(BeZero())
	s.Expect(s.Stats.Ahead.Load()).To(Equal(uint64(5)))
}

// Guards against a body that goes to another request, or that is read as one.
func TestBodiesGoToTheirRequests(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, get("/a"), post("/b", get("/smuggled")), get("/c"),
		"POST /d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", get("/e"))
	for _, path := range []string{"/e", "/d", "/c", "/b", "/a"} {
		g.release(path)
	}
	c.answer("/a ")
	c.answer("/b " + get("/smuggled"))
	c.answer("/c ")
	c.answer("/d hello")
	c.answer("/e ")
	s.Expect(g.running()).To(ConsistOf("/a", "/b", "/c", "/d", "/e"))
}

// Guards against a request that runs although the answer before it has closed the connection: its caller sends it again.
func TestNothingRunsBehindAnAnswerThatClosesTheConnection(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, get("/abort"), get("/ordered"), post("/b", "x"), get("/c"))
	s.Eventually(g.running, testTimeout).Should(HaveLen(1))
	g.release("/abort")
	c.end()
	s.Consistently(g.running, shortTime).Should(Equal([]string{"/abort"}))
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
	s.Expect(s.ahead.Load()).To(BeZero())
}

// Guards against answers that are lost because an earlier one closes the connection, in a planned stop: only the last answer
// may close it.
func TestOnlyTheLastAnswerClosesTheConnection(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, get("/close"), get("/b"), get("/c"))
	s.Eventually(g.running, testTimeout).Should(HaveLen(3))
	g.release("/close")
	s.Expect(c.answer("/close ").Close).To(BeFalse())
	_, err := io.WriteString(c, get("/late"))
	s.Expect(err).NotTo(HaveOccurred())
	s.Eventually(s.Stats.Unread.Load, testTimeout).Should(Equal(uint64(1)), "no further request is taken up")
	g.release("/b")
	g.release("/c")
	s.Expect(c.answer("/b ").Close).To(BeFalse())
	s.Expect(c.answer("/c ").Close).To(BeTrue())
	c.end()
	s.Expect(g.running()).NotTo(ContainElement("/late"))
	s.Eventually(s.CloseIdle, testTimeout).Should(BeZero())
}

// Guards against work for a caller that has left in the middle of its requests.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, get("/a"), get("/b"), get("/c"))
	s.Eventually(g.running, testTimeout).Should(HaveLen(3))
	c.Close()
	s.Eventually(g.cancelled, testTimeout).Should(HaveLen(3))
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
	s.Expect(s.ahead.Load()).To(BeZero())
}

// Guards against a request that is started although its caller had left before it was read.
func TestRequestOfACallerThatHasLeftIsNotStarted(t *testing.T) {
	g := newGate()
	s := NewServer(Options{Handler: g, Clock: newCallerServer(t, nil).opts.Clock, MaxHeader: 8 << 10, MaxAhead: 40})
	w := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	for _, requests := range []string{get("/a"), get("/a") + get("/b")} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		w.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, requests)
		w.Expect(err).NotTo(HaveOccurred())
		conn.Close()
	}
	time.Sleep(shortTime) // the requests and the ends of the connections are there before the server reads
	go func() { _ = s.Serve(ln) }()
	w.Eventually(s.Stats.Unread.Load, testTimeout).Should(Equal(uint64(2)))
	w.Eventually(s.list, testTimeout).Should(BeEmpty())
	w.Expect(g.running()).NotTo(ContainElement("/b"), "the last one of the connection")
	w.Expect(len(g.running())).To(BeNumerically("<=", 1), "the one before it may have been started")
}

// Guards against a connection that takes up requests without bound, and against one whose bound keeps it from noticing that
// its caller has left.
func TestRequestsAheadAreBounded(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	var requests []string
	for i := range maxInProgress + 10 {
		requests = append(requests, get(fmt.Sprintf("/%d", i)))
	}
	c := s.caller(t, requests...)
	s.Eventually(g.running, testTimeout).Should(HaveLen(maxInProgress))
	s.Consistently(g.running, shortTime).Should(HaveLen(maxInProgress))
	g.release("/0")
	c.answer("/0 ")
	s.Eventually(g.running, testTimeout).Should(HaveLen(maxInProgress + 1))
	c.Close()
	s.Eventually(g.cancelled, testTimeout).Should(HaveLen(maxInProgress))
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
}

// Guards against exceeding the bound of the process by many connections, and against connections that starve at that bound.
func TestRequestsAheadOfAllConnectionsAreBounded(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	const conns = 10
	var callers []*caller
	for n := range conns {
		var requests []string
		for i := range 10 {
			requests = append(requests, get(fmt.Sprintf("/%d/%d", n, i)))
		}
		callers = append(callers, s.caller(t, requests...))
	}
	s.Eventually(g.running, testTimeout).Should(HaveLen(conns + s.opts.MaxAhead))
	s.Consistently(g.running, shortTime).Should(HaveLen(conns + s.opts.MaxAhead))
	for n := range conns {
		for i := range 10 {
			g.release(fmt.Sprintf("/%d/%d", n, i))
		}
	}
	for n, c := range callers {
		for i := range 10 {
			c.answer(fmt.Sprintf("/%d/%d ", n, i))
		}
	}
	s.Expect(s.ahead.Load()).To(BeZero())
}

// Guards against an answer that looks complete although its handler has written too little, and against later answers in its
// place.
func TestShortAnswerEndsTheConnection(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, get("/short"), get("/b"))
	g.release("/short")
	g.release("/b")
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	s.Expect(err).To(HaveOccurred())
	c.end()
}

// Guards against requests that two servers read differently, and against a failure of one request that hits the ones before it.
func TestMalformedRequestsAreRejectedInOrder(t *testing.T) {
	for name, request := range map[string]string{
		"line": "nonsense\r\n\r\n", "no host": "GET / HTTP/1.1\r\n\r\n", "two hosts": "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"bad host": "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", "bad value": "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n",
		"bad length": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"lengths":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"version":    "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
		"large":      "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8<<10+readBuffer) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			s := startServer(t, g)
			c := s.caller(t, get("/a"), request, get("/smuggled"))
			s.Eventually(g.running, testTimeout).Should(HaveLen(1))
			g.release("/a")
			c.answer("/a ")
			resp, err := http.ReadResponse(c.reader, nil)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(resp.StatusCode).To(BeElementOf(400, 431, 505))
			s.Expect(resp.Close).To(BeTrue())
			_, err = io.ReadAll(resp.Body)
			s.Expect(err).NotTo(HaveOccurred())
			c.end()
			s.Expect(g.running()).To(Equal([]string{"/a"}))
		})
	}
}

// Guards against a caller that waits for the interim answer before it sends its body.
func TestInterimAnswerIsSent(t *testing.T) {
	g := newGate()
	s := startServer(t, g)
	c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
	resp, err := http.ReadResponse(c.reader, nil)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(resp.StatusCode).To(Equal(http.StatusContinue))
	_, err = io.WriteString(c, "hello"+get("/b"))
	s.Expect(err).NotTo(HaveOccurred())
	g.release("/a")
	g.release("/b")
	c.answer("/a hello")
	c.answer("/b ")
}

// Guards against an answer that is lost because the connection is closed while the caller still sends its body.
func TestAnswerBeforeTheEndOfTheBodyArrives(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
	go func() { _, _ = c.Write(make([]byte, 500_000)) }() // fails once the server has closed
	resp := c.answer("")
	s.Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	s.Expect(resp.Close).To(BeTrue())
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
}

// Guards against a caller that keeps a connection and an answer for ever by not reading it.
func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20)) // more than the socket buffers hold
	}))
	s.caller(t, get("/a"))
	s.await(func(c *callerConn) bool { return c.writing != 0 })
	s.Eventually(func() uint64 {
		s.expire(maxWriteTime + time.Second)
		return s.Stats.SlowReaders.Load()
	}, testTimeout).Should(Equal(uint64(1)))
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
}

// Guards against closing a caller that reads slowly but goes on reading: only one that accepts nothing for maxWriteTime is closed.
func TestCallerThatReadsSlowlyIsNotClosed(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20)) // more than the socket buffers hold
	}))
	c := s.caller(t, get("/a"))
	for range 4 {
		s.now.Add(int64(maxWriteTime - time.Second))
		now := state.Instant(s.now.Load())
		s.Eventually(func() bool {
			_, err := io.CopyN(io.Discard, c.reader, 1<<20)
			s.Expect(err).NotTo(HaveOccurred())
			list := s.list()
			list[0].mu.Lock()
			defer list[0].mu.Unlock()
			return list[0].writing == now
		}, testTimeout).Should(BeTrue(), "progress starts the time anew")
		s.expire(0)
	}
	s.Expect(s.Stats.SlowReaders.Load()).To(BeZero())
}

// deadlineConn is a connection on which nothing arrives. Its reads wait, or fail at once while a deadline in the past is set.
type deadlineConn struct {
	net.Conn
	reads   atomic.Int64
	mu      sync.Mutex
	expired chan struct{} // closed while the deadline has passed
}

func (c *deadlineConn) Read([]byte) (int, error) {
	c.reads.Add(1)
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	<-expired
	return 0, os.ErrDeadlineExceeded
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Equal(past) {
		close(c.expired)
	} else {
		c.expired = make(chan struct{})
	}
	return nil
}

// Guards against a reader that spins while it waits for an answer, because the deadline that has ended the reading of a body is
// still set.
func TestReaderDoesNotSpinAfterADeadline(t *testing.T) {
	g := NewWithT(t)
	nc := &deadlineConn{expired: make(chan struct{})}
	c := NewServer(Options{Clock: func() state.Instant { return 1 }}).add(nc)
	x := newExchange(c, &http.Request{Body: http.NoBody}, nil)
	c.queue = []*exchange{x}
	g.Expect(nc.SetReadDeadline(past)).To(Succeed())
	done := make(chan bool)
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		done <- c.await(func() bool { return len(c.queue) == 0 })
	}()
	g.Eventually(nc.reads.Load, testTimeout).Should(BeNumerically(">=", 1))
	g.Consistently(nc.reads.Load, shortTime).Should(BeNumerically("<=", 2))
	c.leaveQueue(x)
	g.Eventually(done, testTimeout).Should(Receive(BeTrue()))
}
