package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/transport/membudget"
)

const (
	// bodyStallTime is how long a caller may send nothing of a body. It is longer than the deadline of most requests.
	bodyStallTime = 15 * time.Second
	// lingerTime is how long the rest of a body is read that nothing needs, so that the caller can read the answer.
	lingerTime = 500 * time.Millisecond
	// progressStep is the number of bytes of a body that count as progress when the memory for bodies is used up.
	progressStep = 64 << 10
	// submissionCost is what a submission needs besides its body, in bytes: goroutines, headers and buffers of connections.
	submissionCost = 48 << 10
	// DefaultBodyMemory is the memory for bodies of submissions that are in progress, in bytes: about 850 of the largest that are
	// buffered.
	DefaultBodyMemory = 256 << 20
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// callerBody is the body of a caller's request. Reading it fails with os.ErrDeadlineExceeded when the caller sends nothing for
// bodyStallTime, or the request's time is over. It is the owner of the memory that is held for the body.
type callerBody struct {
	io.ReadCloser
	conn  *http.ResponseController
	clock func() state.Instant

	mu      sync.Mutex
	until   time.Time     // when the request's time is over; zero for no limit
	pending bool          // the body has not been read to its end
	ended   bool          // the request has been answered, or the memory is needed for others: nothing more is read
	evicted bool          // the memory is needed for others
	reading bool          // a read is in progress
	since   state.Instant // when the last progressStep bytes began
	moved   int           // bytes since then
}

// newCallerBody replaces the body of a request, unless it has none. The caller of newCallerBody ends it with finish.
func newCallerBody(w http.ResponseWriter, r *http.Request, clock func() state.Instant) *callerBody {
	b := &callerBody{ReadCloser: r.Body, conn: http.NewResponseController(w), clock: clock}
	if r.ContentLength != 0 {
		b.pending = true
		b.extend()
		r.Body = b
	}
	return b
}

// limit sets when the request's time is over.
func (b *callerBody) limit(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
}

// extend allows for bodyStallTime from now. b.mu is held on entry, or the body is not in use yet.
func (b *callerBody) extend() {
	deadline := time.Now().Add(bodyStallTime)
	if !b.until.IsZero() && b.until.Before(deadline) {
		deadline = b.until
	}
	_ = b.conn.SetReadDeadline(deadline) // fails for a connection that has been closed, whose read fails as well
}

// Read reads from the body.
func (b *callerBody) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.moved += n
	if err == io.EOF && !b.ended {
		b.pending = false
		_ = b.conn.SetReadDeadline(time.Time{}) // as above
	}
	return n, err
}

// begin records the start of a read. It returns false when nothing more is read.
func (b *callerBody) begin() bool {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.extend()
	b.reading = true
	if b.since == 0 || b.moved >= progressStep {
		b.since, b.moved = now, 0
	}
	return true
}

// finish ends the use of the body. A read of it that is still in progress changes no deadline any more, since the connection may
// carry the next request. net/http reads on before it answers, which lingerTime bounds.
func (b *callerBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if b.pending {
		_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime)) // as in extend
	}
}

// Stalled returns what the body waits for.
func (b *callerBody) Stalled() membudget.Stall {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.reading || b.ended {
		return membudget.Stall{}
	}
	return membudget.Stall{Waiting: membudget.ForCaller, Since: b.since}
}

// Evict ends the reading of the body, so that its request is refused, unless the body makes progress.
func (b *callerBody) Evict() bool {
	now := b.clock()
	stall := b.Stalled()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || !stall.MayClose(now) {
		return false
	}
	b.ended, b.evicted = true, true
	_ = b.conn.SetReadDeadline(past) // fails for a connection that has been closed, whose read fails as well
	return true
}

// problem returns the answer to a submission whose body could not be read, and the time after which the caller may retry. The
// submission has not run.
func (b *callerBody) problem(err error) (*callers.Problem, time.Duration) {
	p := badRequest("body", err.Error())
	p.Step = "read request body"
	b.mu.Lock()
	evicted := b.evicted
	b.mu.Unlock()
	var tooLarge *http.MaxBytesError
	switch {
	case evicted || errors.Is(err, membudget.ErrExhausted):
		p.Status, p.Reason, p.Detail = http.StatusServiceUnavailable, "memory", membudget.ErrExhausted.Error()
		return p, time.Second
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.Status, p.Reason, p.Detail = http.StatusRequestTimeout, "body_timeout", "the body did not arrive in time"
		return p, time.Second
	case errors.As(err, &tooLarge):
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, "body_too_large"
	}
	return p, 0
}
