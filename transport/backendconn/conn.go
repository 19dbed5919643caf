package backendconn

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times of idle connections, and bounds of what is read.
const (
	// defaultIdle is how long a connection is kept whose server names no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the server's timeout a connection is given up, for the time on the way.
	idleMargin = 1500 * time.Millisecond
	// maxHead bounds the head of an answer, in bytes: a server in trouble may send bytes without end.
	maxHead = 64 << 10
	// readBuffer is the size of a connection's read buffer, in bytes. Most answers fit.
	readBuffer = 4 << 10
)

// errHeadTooLarge says that the head of an answer has no end within maxHead.
var errHeadTooLarge = errors.Errorf("head of the answer is longer than %d bytes", maxHead)

// conn is one connection to a backend server. One goroutine at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader  // of the bounded bytes
	bound  *boundedReader // between the connection and reader
	idle   time.Duration  // how long the server keeps it idle
	since  time.Time      // when it became idle; its monotonic reading is used
	used   bool           // whether it has carried a whole exchange
}

func newConn(c net.Conn) *conn {
	bound := &boundedReader{Reader: c, left: math.MaxInt64}
	return &conn{Conn: c, reader: bufio.NewReaderSize(bound, readBuffer), bound: bound, idle: defaultIdle}
}

// readResponse reads the head of an answer, which may have up to maxHead bytes besides those that are buffered.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.bound.left = maxHead
	defer func() { c.bound.left = math.MaxInt64 }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// boundedReader fails once the bytes that are left have been read.
type boundedReader struct {
	io.Reader
	left int64
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}

// learnIdle takes the idle timeout from an answer.
func (c *conn) learnIdle(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idle = time.Duration(seconds) * time.Second
		}
	}
}

// fresh reports whether the connection may still carry a request: it has been idle for less than most, and the server has
// neither closed it nor sent bytes that no request asked for.
func (c *conn) fresh(most time.Duration) bool {
	if time.Since(c.since) > min(most, c.idle-idleMargin) || c.reader.Buffered() > 0 {
		return false
	}
	return !c.readable()
}

// readable reports whether bytes or the end of the stream wait on the connection. It does not wait.
func (c *conn) readable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err != unix.EAGAIN && err != unix.EWOULDBLOCK
	})
	return err != nil || waiting
}
