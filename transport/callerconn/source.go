package callerconn

import (
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errHeadTooLarge means that the head of a request is longer than Options.MaxHeader.
var errHeadTooLarge = errors.New("head of the request is too large")

// errNoMemory means that there is no memory for the head of a request.
var errNoMemory = errors.New("no memory for the head of the request")

// unlimited is the limit of a source outside the head of a request.
const unlimited = int64(1) << 62

// source reads a caller's connection. It calls beforeWait when it is about to wait for bytes, and fails with errHeadTooLarge
// once remaining bytes have been read. One goroutine at a time uses it.
type source struct {
	conn       net.Conn
	raw        syscall.RawConn // nil for a connection that is no socket
	beforeWait func()
	remaining  int64
	charge     func(n int) bool // reserves memory for n bytes of a head beyond the first readBuffer
	inHead     bool
	headBytes  int   // that have been read since the head began
	refused    bool  // charge has returned false
	err        error // of the connection

	// Inputs and outputs of readReady, which the run time calls.
	buffer []byte
	count  int
	status error
	ready  func(fd uintptr) bool
}

func newSource(c net.Conn, beforeWait func()) *source {
	s := &source{conn: c, beforeWait: beforeWait, remaining: unlimited}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	s.ready = s.readReady
	return s
}

// Read reads up to len(b) bytes.
func (s *source) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if s.inHead && s.refused {
		return 0, errNoMemory
	}
	b = b[:min(int64(len(b)), s.remaining)]
	n, err := s.read(b)
	s.remaining -= int64(n)
	if s.inHead {
		s.countHead(n)
	}
	if err != nil && !isTimeout(err) {
		s.err = err
	}
	return n, err
}

// beginHead limits what is read until endHead.
func (s *source) beginHead(limit int64) {
	s.remaining, s.inHead, s.headBytes, s.refused = limit, true, 0, false
}

func (s *source) endHead() { s.remaining, s.inHead = unlimited, false }

// countHead reserves memory for the bytes of a head beyond the first readBuffer.
func (s *source) countHead(n int) {
	s.headBytes += n
	if over := min(n, s.headBytes-readBuffer); over > 0 && s.charge != nil {
		s.refused = !s.charge(over)
	}
}

func (s *source) read(b []byte) (int, error) {
	if s.raw == nil {
		s.beforeWait()
		return s.conn.Read(b)
	}
	s.buffer, s.count, s.status = b, 0, nil
	if err := s.raw.Read(s.ready); err != nil {
		return 0, err
	}
	switch {
	case s.status != nil:
		return 0, errors.Wrap(s.status, "read")
	case s.count == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return s.count, nil
}

// readReady reads without waiting. It returns false when there is nothing to read yet.
func (s *source) readReady(fd uintptr) bool {
	for {
		n, err := unix.Read(int(fd), s.buffer)
		switch err {
		case nil:
			s.count = n
			return true
		case unix.EINTR:
		case unix.EAGAIN:
			s.beforeWait()
			return false
		default:
			s.status = err
			return true
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
