package backend

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// scriptedConn is a connection without a descriptor whose calls return the given errors.
type scriptedConn struct {
	net.Conn
	reads, writes []error
	held          chan struct{} // a write returns when it is closed; nil for at once
	writing       chan struct{} // closed when a write has begun
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.reads[0]
	c.reads = c.reads[1:]
	return 0, err
}

func (c *scriptedConn) Write([]byte) (int, error) {
	err := c.writes[0]
	c.writes = c.writes[1:]
	if c.held != nil {
		close(c.writing)
		<-c.held
	}
	return 0, err
}

// Guards against an end of the stream that is reported after a call has been told of a reset, and against a reset that is reported after
// an orderly end.
func TestEndOfTheStreamAfterAnError(t *testing.T) {
	for name, c := range map[string]struct {
		reads, writes []error
		want          error
	}{
		"write met a reset":                 {writes: []error{syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"writes met a reset":                {writes: []error{syscall.ECONNRESET, syscall.EPIPE}, want: syscall.ECONNRESET},
		"write met a time-out of the peer":  {writes: []error{syscall.ETIMEDOUT}, want: syscall.ETIMEDOUT},
		"write on a closed connection":      {writes: []error{net.ErrClosed}, want: net.ErrClosed},
		"read met a reset":                  {reads: []error{syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"write after an orderly end":        {writes: []error{syscall.EPIPE}, want: io.EOF},
		"deadline of a write":               {writes: []error{os.ErrDeadlineExceeded}, want: io.EOF},
		"deadline of a read":                {reads: []error{os.ErrDeadlineExceeded}, want: io.EOF},
		"successful write":                  {writes: []error{nil}, want: io.EOF},
		"no other call":                     {want: io.EOF},
		"write met a reset before the data": {writes: []error{syscall.ECONNRESET}, reads: []error{nil}, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn := DetectResets(&scriptedConn{reads: append(c.reads, io.EOF), writes: c.writes})
			for _, err := range c.writes {
				_, got := conn.Write(nil)
				expectError(g, got, err)
			}
			for _, err := range c.reads {
				_, got := conn.Read(nil)
				expectError(g, got, err)
			}
			_, err := conn.Read(nil)
			g.Expect(err).To(MatchError(c.want))
		})
	}
}

func expectError(g *WithT, got, want error) {
	if want == nil {
		g.Expect(got).NotTo(HaveOccurred())
		return
	}
	g.Expect(got).To(MatchError(want))
}

// Guards against an end of the stream that is reported before a write in progress has returned, which may be told of a reset.
func TestEndOfTheStreamWaitsForAWriteInProgress(t *testing.T) {
	g := NewWithT(t)
	inner := &scriptedConn{reads: []error{io.EOF}, writes: []error{syscall.ECONNRESET}, held: make(chan struct{}), writing: make(chan struct{})}
	conn := DetectResets(inner)
	go func() { _, _ = conn.Write(nil) }()
	<-inner.writing
	got := make(chan error, 1)
	go func() {
		_, err := conn.Read(nil)
		got <- err
	}()
	g.Consistently(got, "100ms").ShouldNot(Receive())
	close(inner.held)
	g.Eventually(got, "10s").Should(Receive(MatchError(syscall.ECONNRESET)))
}
