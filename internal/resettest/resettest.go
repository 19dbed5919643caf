// Package resettest has servers and connections for tests of answers whose connection ends while the request is still being sent.
package resettest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// UploadSize is more than the buffers of a connection hold, in bytes, so that an upload is in progress when its answer ends.
const UploadSize = 8 << 20

// Tries is the number of tries of a test on real sockets, where the system chooses whether a read or a write meets a reset.
const Tries = 20

// Upload is a body of UploadSize bytes.
var Upload = make([]byte, UploadSize)

// body is the body of most of UnframedAnswers.
const body = "a part of the body"

// UnframedAnswer is an answer that ends with its connection.
type UnframedAnswer struct{ Head, Body string }

// UnframedAnswers are answers that end with their connection.
var UnframedAnswers = map[string]UnframedAnswer{
	"200":               {"HTTP/1.1 200 OK\r\n\r\n", body},
	"connection: close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body},
	"HTTP 1.0":          {"HTTP/1.0 200 OK\r\n\r\n", body},
	"empty body":        {"HTTP/1.1 200 OK\r\n\r\n", ""},
	"500":               {"HTTP/1.1 500 Internal Server Error\r\n\r\n", body},
	"after a 100":       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", body},
}

// holdTime is how long Conn holds a failed write back, unless the connection is closed before. A reader that does not wait for the
// write decides within it.
const holdTime = 200 * time.Millisecond

// End is how a server ends a connection.
type End int

// Values of End.
const (
	Reset         End = iota // resets the connection
	InOrder                  // ends its sending side and reads on
	InOrderUnread            // ends its sending side and reads nothing more
	ResetAfterEnd            // ends its sending side, and resets the connection once the client has got that
)

// Server answers each request once it has read its head, and ends the connection.
type Server struct {
	Answer UnframedAnswer
	Wait   time.Duration // between the answer and the end of the connection
	End    End
	ln     net.Listener
	ended  chan struct{} // closed when the server stops
}

// Start listens on a free port of the loopback address.
func (s *Server) Start() error {
	var err error
	s.ln, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.ended = make(chan struct{})
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Stop stops the server, with the connections that it leaves unread.
func (s *Server) Stop() {
	s.ln.Close()
	close(s.ended)
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, s.Answer.Head+s.Answer.Body); err != nil {
		return
	}
	time.Sleep(s.Wait)
	if s.End != Reset {
		_ = c.CloseWrite() // fails only for a connection that the client has reset
	}
	switch s.End {
	case InOrder:
		_, _ = io.Copy(io.Discard, c) // until the client closes
	case InOrderUnread:
		<-s.ended
	case ResetAfterEnd:
		awaitAcknowledged(c)
	}
	if s.End == Reset || s.End == ResetAfterEnd {
		_ = c.SetLinger(0) // as above
	}
}

// awaitAcknowledged waits until the client has acknowledged the end of the stream.
func awaitAcknowledged(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for acknowledged := false; !acknowledged; time.Sleep(time.Millisecond) {
		err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err != nil || info.State != unix.BPF_TCP_FIN_WAIT1
		})
		if err != nil {
			return
		}
	}
}

// Conn is a connection on which a write meets the end of the connection before a read does. Its reads wait until a write has failed, and
// the failed write returns later than they do.
type Conn struct {
	*net.TCPConn
	failed, closed       chan struct{}
	failOnce, closedOnce sync.Once
}

// Dial opens a Conn.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: c.(*net.TCPConn), failed: make(chan struct{}), closed: make(chan struct{})}, nil
}

// ReadFrom writes what it reads with Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Write writes to the connection. A failure is returned after holdTime.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.failOnce.Do(func() { close(c.failed) })
		select {
		case <-time.After(holdTime):
		case <-c.closed:
		}
	}
	return n, err
}

// Read waits until a write has failed, then reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	select {
	case <-c.failed:
	case <-c.closed:
	}
	return c.TCPConn.Read(b)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}
