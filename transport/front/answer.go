package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/transport/backendconn"
)

// refusedRetryAfter is the Retry-After of refused requests: requests that are running now have ended by then.
const refusedRetryAfter = 300 * time.Millisecond

// writeServed writes a server's acceptable answer and records its size and latency.
func (q *request) writeServed(a reply, server *catalog.Server) {
	m := q.m
	m.Stats.Served.Add(1)
	if a.Rest == nil && a.Status == http.StatusOK {
		m.sizes.record(q.route, len(a.Body))
	}
	m.latencies.observe("request.time_ms", q.service, "end", "served", m.opts.Loop.Now().Sub(q.arrived))
	q.logServed(server, a.took)
	q.writeAnswer(a.Answer)
}

// bodyReader is a response writer that reads on the request's body after the answer.
type bodyReader interface {
	// ReadOn keeps the body readable until the channel is closed. It is called before WriteHeader.
	ReadOn(until <-chan struct{})
}

// writeAnswer forwards a server's answer unchanged. When the server breaks off, the connection to the caller is aborted, so
// that the answer does not look complete.
func (q *request) writeAnswer(a *backendconn.Answer) {
	defer discardRest(a)
	if a.Rest == nil && a.Unsent == nil {
		q.hold.Release(serverCost) // nothing more is read from the server
	}
	h := q.w.Header()
	for name, values := range endToEnd(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if a.Rest == nil && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	q.closeIfStopping()
	if w, ok := q.w.(bodyReader); ok && a.Sending != nil {
		w.ReadOn(a.Sending)
	}
	q.w.WriteHeader(a.Status)
	if q.r.Method == http.MethodHead {
		return
	}
	if _, err := q.w.Write(a.Body); err != nil {
		q.m.Stats.Left.Add(1)
		return
	}
	if a.Rest == nil {
		return
	}
	q.hold.Add(copyCost)
	if _, err := io.Copy(q.w, a.Rest); err != nil {
		q.m.Stats.Cut.Add(1)
		q.log("answer aborted", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// discardRest closes what has not been read of an answer. Without that, neither the connection to the server nor the memory of a
// request whose body is still being sent would be released.
func discardRest(a *backendconn.Answer) {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close() // nothing more is expected of the connection
	}
}

// refuse answers 503, which means that the request has not run, with the time after which the caller may retry.
func (q *request) refuse(reason string, retryAfter time.Duration) {
	q.m.Stats.Refused.Add(1)
	q.respond(http.StatusServiceUnavailable, reason, retryAfter)
}

// respond writes an answer of this instance itself. The answer has a Retry-After header unless retryAfter is 0.
func (q *request) respond(status int, reason string, retryAfter time.Duration) {
	h := q.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	q.m.latencies.observe("request.time_ms", q.service, "end", strconv.Itoa(status), q.m.opts.Loop.Now().Sub(q.arrived))
	q.log("request not served", "status", status, "why", reason)
	body := http.StatusText(status) + ": " + reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.closeIfStopping()
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, body) // the caller may have disconnected
}

// closeIfStopping asks for the caller's connection to be closed after this answer when the instance is about to stop.
func (q *request) closeIfStopping() {
	if q.m.opts.Loop.View().Stopping {
		q.w.Header().Set("Connection", "close")
	}
}
