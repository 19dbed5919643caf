package backend

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackCheckInterval is the time between two checks of a connection with unacknowledged bytes.
const ackCheckInterval = 200 * time.Millisecond

// ackConn is a TCP connection that fails when the other host acknowledges nothing for UnackedTimeout, although bytes or a probe of its
// window wait for that. Unlike TCP_USER_TIMEOUT this does not count bytes that wait because the window is full: a host that reads
// nothing still answers the kernel's probes.
type ackConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	timer *time.Timer // calls check

	mu     sync.Mutex
	armed  bool      // timer runs
	since  time.Time // since when an acknowledgement is due; zero when none is
	closed bool
	silent bool // the other host acknowledged nothing in time
}

func newAckConn(c *net.TCPConn) (*ackConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	out := &ackConn{TCPConn: c, raw: raw}
	out.timer = time.AfterFunc(time.Hour, out.check)
	out.timer.Stop()
	return out, nil
}

// Write writes to the connection, and has acknowledgements checked until there is nothing to acknowledge.
func (c *ackConn) Write(b []byte) (int, error) {
	c.arm()
	n, err := c.TCPConn.Write(b)
	c.arm() // a check may have found nothing to acknowledge before the bytes were written
	return n, c.cause("write", err)
}

// ReadFrom writes what it reads from r with Write, so that acknowledgements are checked.
func (c *ackConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read reads from the connection.
func (c *ackConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	return n, c.cause("read", err)
}

// Close closes the connection.
func (c *ackConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.timer.Stop()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// cause returns the error of an operation, which is a time-out when the connection was closed for lack of acknowledgements.
func (c *ackConn) cause(op string, err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, syscall.ETIMEDOUT)}
}

func (c *ackConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed || c.closed {
		return
	}
	c.armed, c.since = true, time.Time{}
	c.timer.Reset(ackCheckInterval)
}

// check closes the connection when an acknowledgement has been due for UnackedTimeout.
func (c *ackConn) check() {
	info, err := tcpInfo(c.raw)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || err != nil {
		return // an error means that the connection is closed
	}
	switch {
	case !ackDue(info):
		c.since = time.Time{}
	case c.since.IsZero():
		c.since = now
	case now.Sub(c.since) >= UnackedTimeout-ackCheckInterval: // the first check was up to ackCheckInterval late
		c.silent, c.closed = true, true
		_ = c.SetLinger(0) // unsent bytes are lost in any case
		c.TCPConn.Close()
		return
	}
	if info.Unacked == 0 && info.Notsent_bytes == 0 {
		c.armed = false
		return
	}
	c.timer.Reset(ackCheckInterval)
}

// tcpInfo returns what the system knows of a connection. It fails when the connection is closed.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}

// ackDue reports whether an acknowledgement is due: for bytes that were sent, or sent again, after the last one, or for probes of a
// full window. While the kernel waits to send again, none is due.
func ackDue(info *unix.TCPInfo) bool {
	return info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv || info.Probes >= maxProbes(info.Backoff)
}

// maxProbes returns the number of probes of a full window that may be unanswered. A healthy host answers one each 500 ms at most
// (tcp_invalid_ratelimit of Linux), so that up to two of the first three, which follow after 0.2, 0.4 and 0.8 s, stay unanswered. Later
// ones are 1.6 s apart and more; one may be lost.
func maxProbes(backoff uint8) uint8 {
	if backoff > 3 {
		return 2
	}
	return 3
}
