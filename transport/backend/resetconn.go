package backend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptor means that a connection is not one of the system's.
var ErrNoDescriptor = errors.New("the connection has no descriptor")

// Conn is a connection whose Read returns io.EOF only where the other host has ended its stream in order. The system reports a
// reset once, to whichever call comes first: where that is a write, the next read returns the end of the stream.
type Conn struct {
	net.Conn
	writing sync.Mutex            // held while a write is in progress
	failure atomic.Pointer[error] // of an earlier call; the stream may have been cut by then
}

// DetectResets returns a connection like c that tells a reset from the end of the stream, also while another goroutine writes to it.
func DetectResets(c net.Conn) *Conn {
	if out, ok := c.(*Conn); ok {
		return out
	}
	return &Conn{Conn: c}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.record(err)
	return n, err
}

// Read reads from the connection. Instead of io.EOF it returns the error of an earlier call that may have been told of a reset.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		c.record(err)
		return n, err
	}
	if !c.writing.TryLock() {
		if c.connected() {
			return n, err // the write may take as long as the other host likes; it has not been told of a reset
		}
		c.writing.Lock() // the write ends at once on a connection that has been reset
	}
	defer c.writing.Unlock()
	if failure := c.failure.Load(); failure != nil {
		return n, *failure
	}
	return n, err
}

// record records the first error after which the end of the stream proves nothing. EPIPE is none: it means that the stream had ended in
// order, or that an earlier call has been told of the reset. Neither is a deadline.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.failure.CompareAndSwap(nil, &err)
}

// connected reports whether the system still has the connection: it has neither been reset nor timed out. It is false when that is not
// known.
func (c *Conn) connected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	info, err := tcpInfo(raw)
	return err == nil && info.State != unix.BPF_TCP_CLOSE
}

// SyscallConn returns access to the connection's descriptor. It fails with ErrNoDescriptor when there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, ErrNoDescriptor
	}
	return inner.SyscallConn()
}

// SetReadBuffer sets the size of the system's receive buffer in bytes. It fails with ErrNoDescriptor when there is none.
func (c *Conn) SetReadBuffer(bytes int) error {
	inner, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return ErrNoDescriptor
	}
	return inner.SetReadBuffer(bytes)
}
