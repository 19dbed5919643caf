// Package callerconn serves HTTP/1.1 on callers' connections. Unlike net/http it reads requests ahead: it takes up the next
// request of a connection while earlier ones are in progress, and sends the answers in the order of the requests. It knows at
// any time which connections carry a request, so that a planned stop and the limits on callers close only the others.
package callerconn

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/membudget"
)

const (
	// maxInProgress bounds the requests of one connection that are in progress at the same time.
	maxInProgress = 16
	// maxWriteTime bounds the time in which a caller must accept the next bytes of an answer.
	maxWriteTime = 30 * time.Second
	// lingerTime is how long a connection is read on after its last answer: closing a connection with unread bytes resets it, so
	// that the caller may lose the answer.
	lingerTime = 500 * time.Millisecond
	// acceptPause is the time between two tries to accept a connection while the process is out of descriptors or memory.
	acceptPause = 20 * time.Millisecond
	// maxAdmissionTime is how long a new connection waits for room, and with it those behind it. Without it, a crowd that comes again at once
	// would close the connections of others before their requests have been read.
	maxAdmissionTime = 200 * time.Millisecond
)

// Options are the inputs of a Server.
type Options struct {
	// Handler answers the requests. When it panics with http.ErrAbortHandler, the connection is closed without a further answer.
	Handler http.Handler
	Clock   func() state.Instant
	Log     hclog.Logger
	// MaxHeader bounds the head of a request, in bytes, besides up to readBuffer bytes that are in the buffer already.
	MaxHeader int
	// MaxAhead bounds the requests in progress behind another one of their connection, over all connections. Each of them may
	// hold an answer in memory that cannot be sent yet.
	MaxAhead int
	// MaxConns bounds the open connections; 0 sets no bound.
	MaxConns int
	// Budget bounds the memory that is held for callers; nil sets no bound.
	Budget *membudget.Budget
}

// Server serves callers' connections. It is safe for concurrent use.
type Server struct {
	opts  Options
	Stats Stats
	ahead atomic.Int64 // requests in progress behind another one

	noWaitUntil time.Time // until when new connections do not wait for room; the goroutine that accepts connections uses it

	refusals atomic.Int64 // connections that are only kept until their request has been refused

	mu   sync.Mutex
	open map[*conn]struct{}
}

// Stats counts callers' connections and requests.
type Stats struct {
	Accepted atomic.Uint64 // connections
	// AcceptFailed counts connections that could not be accepted for lack of descriptors or memory.
	AcceptFailed atomic.Uint64
	Idle         atomic.Uint64 // connections closed because they were idle for longer than the limit
	SlowHeaders  atomic.Uint64 // connections closed because a request's header was not complete within the limit
	SlowReaders  atomic.Uint64 // connections closed because the caller did not accept an answer within maxWriteTime
	SlowBodies   atomic.Uint64 // bodies given up because the caller sent nothing within bodyStallTime
	Displaced    atomic.Uint64 // idle connections closed for new ones, because MaxConns were open
	Crowded      atomic.Uint64 // new connections refused for lack of memory, or because MaxConns were open and in use
	NoMemory     atomic.Uint64 // requests refused for lack of memory for their head
	LeftInBody   atomic.Uint64 // connections whose caller left before the end of a body that was not being read
	Malformed    atomic.Uint64 // requests that could not be read
	Ahead        atomic.Uint64 // requests taken up while an earlier one of their connection was in progress
	Held         atomic.Uint64 // requests that waited for an earlier one because of MaxAhead or the bound of the connection
	Unread       atomic.Uint64 // requests that were dropped before anything was done for them: the connection had ended
}

// NewServer returns a server without connections.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, open: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener fails, and returns its error. Connections stay open then. While the process is out
// of descriptors or memory, it tries again after a pause.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case isShortage(err):
			s.Stats.AcceptFailed.Add(1)
			time.Sleep(acceptPause)
		case err != nil:
			return err
		default:
			s.Stats.Accepted.Add(1)
			if c := s.admit(c); c != nil {
				go c.serve()
			}
		}
	}
}

// isShortage reports whether a connection could not be accepted for lack of descriptors or memory, which may pass.
func isShortage(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

func (s *Server) add(nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, nc, ctx, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// takeAhead takes one of the MaxAhead places, or returns false.
func (s *Server) takeAhead() bool {
	if s.ahead.Add(1) <= int64(s.opts.MaxAhead) {
		return true
	}
	s.ahead.Add(-1)
	return false
}

func (s *Server) returnAhead() { s.ahead.Add(-1) }

// list returns the open connections.
func (s *Server) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// Expire closes the connections that exceed the limits on idle time and on the time for a request's header, and those whose
// caller does not read its answer. Call it periodically.
func (s *Server) Expire(limits routing.Limits) {
	now := s.opts.Clock()
	for _, c := range s.list() {
		c.expire(now, limits)
	}
}

// CloseIdle closes the connections without a request and returns the number of connections that stay open.
func (s *Server) CloseIdle() (busy int) {
	for _, c := range s.list() {
		if !c.closeIdle() {
			busy++
		}
	}
	return busy
}
