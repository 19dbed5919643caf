package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/membudget"
)

const (
	// maxBufferedBody is the size up to which a request's body is buffered, so that it can be sent again, in bytes.
	maxBufferedBody = 1 << 20
	// noTableRetryAfter is the Retry-After of an instance that has just started and has no routing table yet.
	noTableRetryAfter = 500 * time.Millisecond
	// slowBodyRetryAfter is the Retry-After of a request whose body has not arrived within its timeout.
	slowBodyRetryAfter = time.Second
)

// request is one caller's request in progress. One goroutine owns it.
type request struct {
	m           *Manager
	w           http.ResponseWriter
	r           *http.Request
	view        *catalog.View
	arrived     state.Instant
	caller      Caller
	route       *routing.Route    // nil until matched
	customer    *routing.Customer // nil without a known key, and before identify
	identified  *routing.Table    // by which customer was looked up last
	guarded     bool              // a table with customers was in force: neither the key nor the caller's own customer header goes to a server
	service     state.ServiceName
	admitted    state.Instant   // when it was last found to be within the customer's quota
	permitUntil state.Instant   // when its permit ends; 0 without one
	timeout     time.Duration   // from arrival to the final answer
	hold        *membudget.Hold // memory of the request and its answer; nil sets no bound
	body        []byte          // whole, or its first maxBufferedBody bytes
	unsent      <-chan struct{} // until when body is still sent after the server's answer; nil when it is not
	rest        io.Reader       // the body after those bytes; nil when body is whole
	tried       []state.BackendName
	kind        catalog.WorkKind // what the server of the current try probably has cached
	sent        int              // times that a backend server got or may have got the request
	ran         bool             // the request has run or may have run
	admission   admission        // by the last look-up of the customer
	lastOutcome string           // outcome of the last exchange, or why there was no further one
	retryAfter  time.Duration    // when a refused caller should return; 0 until placement has found no server
	suspicion   suspicion
}

// readBody reads the body, or its first maxBufferedBody bytes. It answers and returns false when the request exceeds a limit,
// and aborts the caller's connection when the body cannot be read.
func (q *request) readBody(limits routing.Limits) bool {
	if limits.MaxHeader > 0 && headerSize(q.r) > limits.MaxHeader {
		q.respond(http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)
		return false
	}
	if limits.MaxBody > 0 && q.r.ContentLength > limits.MaxBody {
		q.respond(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if !q.openHold() {
		return false
	}
	if q.r.ContentLength == 0 {
		return q.reserveForServer()
	}
	body := io.Reader(q.r.Body)
	if limits.MaxBody > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limits.MaxBody)
	}
	b := membudget.NewBuffer(q.hold, q.r.ContentLength, maxBufferedBody)
	err := q.fillUntilTimeout(b, body)
	q.body = b.Bytes()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return q.reserveForServer()
	case errors.Is(err, membudget.ErrFull):
		q.rest = b.Rest(body)
		return q.reserveForServer()
	case errors.Is(err, membudget.ErrExhausted):
		q.refuseForMemory()
	case isTimeout(err):
		q.m.Stats.SlowBodies.Add(1)
		q.respond(http.StatusRequestTimeout, "the body did not arrive in time", slowBodyRetryAfter)
	case errors.As(err, &tooLarge):
		q.respond(http.StatusRequestEntityTooLarge, "body too large", 0)
	default:
		q.m.Stats.Left.Add(1)
		q.log("request body could not be read", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	return false
}

// fillUntilTimeout reads the body into the buffer until the request's timeout. What follows the buffer is read while a server works,
// whose exchange has a timeout of its own.
func (q *request) fillUntilTimeout(b *membudget.Buffer, body io.Reader) error {
	conn := http.NewResponseController(q.w)
	_ = conn.SetReadDeadline(time.Now().Add(q.timeLeft())) // fails for a writer that is no connection, and for a closed connection
	err := b.Fill(body)
	if err == nil || errors.Is(err, membudget.ErrFull) {
		_ = conn.SetReadDeadline(time.Time{}) // as above
	}
	return err
}

// headerSize returns the approximate size of the request's header in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// timeLeft returns the time until the request's final answer is due.
func (q *request) timeLeft() time.Duration {
	return q.timeout - q.m.opts.Loop.Now().Sub(q.arrived)
}

// context returns a context that ends answerGrace after the timeout and, for an idempotent request, when the caller leaves.
// Any other request is not cancelled then: it may already have taken effect.
func (q *request) context() (context.Context, context.CancelFunc) {
	ctx := q.r.Context()
	if !q.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, q.timeLeft()+answerGrace)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the headers that are forwarded.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// serverHeader returns the headers of the request to a backend server.
func (q *request) serverHeader(server *catalog.Server) http.Header {
	h := endToEnd(q.r.Header)
	h.Del("Content-Length")
	switch {
	case q.r.ContentLength > 0 && q.rest != nil:
		h.Set("Content-Length", strconv.FormatInt(q.r.ContentLength, 10))
	case q.rest != nil:
		h.Set("Transfer-Encoding", "chunked")
	case len(q.body) > 0 || q.r.Method == http.MethodPost || q.r.Method == http.MethodPut || q.r.Method == http.MethodPatch:
		h.Set("Content-Length", strconv.Itoa(len(q.body)))
	}
	if q.guarded {
		q.m.opts.Dialect.SetCustomer(h, q.customerName())
	}
	q.m.opts.Dialect.SetServer(h, server.Name, q.timeLeft())
	return h
}
