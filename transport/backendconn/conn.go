package backendconn

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurebridge/protocol/answerhead"
	"azurebridge/transport/backend"
)

// Times of idle connections, and bounds of what is read.
const (
	// defaultIdleTimeout is the idle timeout of a connection whose server states none.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the server's idle timeout a connection is discarded, to allow for network delay.
	idleMargin = 1500 * time.Millisecond
	// maxHead bounds the head of an answer, in bytes: a faulty server may send bytes without end.
	maxHead = 64 << 10
	// readBuffer is the size of a connection's read buffer, in bytes. Most answers fit.
	readBuffer = 4 << 10
	// maxCarried is the number of request IDs that a connection remembers.
	maxCarried = 4
)

// errHeadTooLarge means that the head of an answer does not end within maxHead bytes.
var errHeadTooLarge = errors.Errorf("head of the answer is longer than %d bytes", maxHead)

// conn is one connection to a backend server. One goroutine at a time uses it.
type conn struct {
	*backend.Conn
	reader      *bufio.Reader  // reads from limited
	limited     *limitedReader // reads from the connection
	idleTimeout time.Duration  // after which the server closes an idle connection
	idleSince   time.Time      // when it became idle; its monotonic reading is used
	grown       bool           // whether its receive buffer has longReceiveBuffer bytes
	used        bool           // whether a whole exchange has been completed on it
	carried     []string       // IDs of the last maxCarried requests that it has carried
}

func newConn(dialed net.Conn) *conn {
	c := backend.DetectResets(dialed)
	limited := &limitedReader{Reader: c, remaining: math.MaxInt64}
	return &conn{Conn: c, reader: bufio.NewReaderSize(limited, readBuffer), limited: limited, idleTimeout: defaultIdleTimeout}
}

// heads holds buffers for the bytes of heads, as *[]byte.
var heads = sync.Pool{New: func() any { return new([]byte) }}

// readResponse reads the head of an answer, which may have up to maxHead bytes besides those that are buffered. It fails for a head
// that is not well formed by itself: net/http accepts lines that consist of parts of two answers.
func (c *conn) readResponse(method string) (*http.Response, error) {
	buffer := heads.Get().(*[]byte)
	defer heads.Put(buffer)
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	*buffer = append((*buffer)[:0], buffered...)
	c.limited.remaining, c.limited.seen = maxHead, buffer
	defer func() { c.limited.remaining, c.limited.seen = math.MaxInt64, nil }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := answerhead.Check((*buffer)[:len(*buffer)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	return resp, nil
}

// limitedReader fails with errHeadTooLarge once the remaining bytes have been read.
type limitedReader struct {
	io.Reader
	remaining int64
	seen      *[]byte // gets the bytes that are read, unless nil
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	if r.seen != nil {
		*r.seen = append(*r.seen, b[:n]...)
	}
	return n, err
}

// setIdleTimeout sets the idle timeout that the Keep-Alive header of an answer states, if any.
func (c *conn) setIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// usable reports whether a request can be sent on the connection: its idle time is at most MaxIdle and at least idleMargin
// below the server's timeout, the server has neither closed it nor sent bytes that belong to no request, and it has carried no
// request with the same ID, whose answer may arrive late.
func (c *conn) usable(r *Request) bool {
	if time.Since(c.idleSince) > min(r.MaxIdle, c.idleTimeout-idleMargin) || c.reader.Buffered() > 0 || slices.Contains(c.carried, r.ID) {
		return false
	}
	return !c.readable()
}

// remember adds a request's ID to those that the connection has carried.
func (c *conn) remember(id string) {
	c.carried = append(c.carried, id)
	if len(c.carried) > maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
}

// readable reports whether a read would return at once, with bytes, the end of the stream or an error. It does not block.
func (c *conn) readable() bool {
	raw, err := c.SyscallConn()
	if errors.Is(err, backend.ErrNoDescriptor) {
		return false
	}
	if err != nil {
		return true
	}
	pending := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN && err != unix.EWOULDBLOCK
	})
	return err != nil || pending
}
