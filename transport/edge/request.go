package edge

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/transport/observe"
)

// request is a validated request of a caller.
type request struct {
	http        *http.Request
	snapshot    *state.Snapshot
	service     *state.Service
	customer    state.CustomerName
	key         string        // idempotency key; empty when absent
	deadline    time.Duration // 0 means no limit
	observed    *observe.Request
	body        *callerBody
	expires     time.Time     // when the deadline ends; zero means no limit, or that the context holds it
	maxWait     time.Duration // longest wait for a slot
	resumeRange *byteRange    // replaces the caller's range when a body is resumed; else nil
	out         http.Request  // as it was last sent to a backend server
}

// atMostOnce reports whether the request must run at most once.
func (rq *request) atMostOnce() bool {
	return rq.service.Kind == state.KindSubmission && rq.http.Method != http.MethodGet && rq.http.Method != http.MethodHead
}

// ended reports whether the caller has disconnected or the deadline has passed.
func (rq *request) ended() bool {
	return rq.http.Context().Err() != nil || (!rq.expires.IsZero() && !time.Now().Before(rq.expires))
}

// parse validates a request. It returns a problem when the request must not be forwarded.
func parse(s *state.Snapshot, r *http.Request, maxBody int64) (*request, *callers.Problem) {
	if p := checkHeaderAndPath(r); p != nil {
		return nil, p
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service := s.Index.Service[state.ServiceName(name)]
	if service == nil {
		return nil, &callers.Problem{Status: http.StatusNotFound, Outcome: callers.OutcomeNotRun, Reason: "unknown_service", Detail: fmt.Sprintf("no service %q", name)}
	}
	customer := state.CustomerName(r.Header.Get(callers.HeaderCustomer))
	if s.Index.Customer[customer] == nil || len(r.Header.Values(callers.HeaderCustomer)) != 1 {
		return nil, &callers.Problem{Status: http.StatusForbidden, Outcome: callers.OutcomeNotRun, Reason: "unknown_customer", Detail: fmt.Sprintf("header %s names no customer", callers.HeaderCustomer)}
	}
	if r.ContentLength > maxBody {
		return nil, &callers.Problem{Status: http.StatusRequestEntityTooLarge, Outcome: callers.OutcomeNotRun, Reason: "body_too_large", Detail: fmt.Sprintf("limit is %d bytes", maxBody)}
	}
	rq := &request{http: r, snapshot: s, service: service, customer: customer, maxWait: service.QueueTimeout}
	if keys, ok := r.Header[callers.HeaderIdempotencyKey]; ok {
		if len(keys) != 1 {
			return nil, badRequest("idempotency_key", "more than one idempotency key")
		}
		if err := callers.CheckIdempotencyKey(keys[0]); err != nil {
			return nil, badRequest("idempotency_key", err.Error())
		}
		rq.key = keys[0]
	}
	if len(r.Header[callers.HeaderDeadline]) > 1 {
		return nil, badRequest("deadline", "more than one deadline")
	}
	deadline, err := callers.ParseDeadline(r.Header)
	if err != nil {
		return nil, badRequest("deadline", err.Error())
	}
	rq.deadline = service.Deadline
	if deadline > 0 && (rq.deadline == 0 || deadline < rq.deadline) {
		rq.deadline = deadline
	}
	return rq, nil
}

// checkHeaderAndPath rejects what a backend server could interpret differently from this instance: header fields that only
// the system sets, fields of the system that the caller lists in Connection, and paths that lead out of their service. It
// also rejects CONNECT and TRACE.
func checkHeaderAndPath(r *http.Request) *callers.Problem {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return &callers.Problem{Status: http.StatusMethodNotAllowed, Outcome: callers.OutcomeNotRun, Reason: "method"}
	}
	for name := range r.Header {
		if len(name) > 4 && name[:4] == systemHeaderPrefix &&
			(strings.HasPrefix(name, callers.HeaderInternalPrefix) || name == callers.HeaderNotRun || name == callers.HeaderSubmissionKey) {
			return badRequest("internal_header", "header "+name+" is reserved")
		}
	}
	for _, list := range r.Header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); strings.HasPrefix(name, systemHeaderPrefix) || name == callers.HeaderIdempotencyKey {
				return badRequest("connection_header", "header "+name+" must not be listed in Connection")
			}
		}
	}
	if strings.Contains(r.URL.Path, "/..") {
		for _, segment := range strings.Split(r.URL.Path, "/") {
			if segment == ".." {
				return badRequest("path", "the path has the segment \"..\"")
			}
		}
	}
	return nil
}

// systemHeaderPrefix begins the names of the system's own header fields.
const systemHeaderPrefix = "Azb-"

func badRequest(reason, detail string) *callers.Problem {
	return &callers.Problem{Status: http.StatusBadRequest, Outcome: callers.OutcomeNotRun, Reason: reason, Detail: detail}
}

// hopByHop reports whether a header field belongs to one connection (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// copyHeader copies end-to-end header fields. The values are shared, not copied.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopByHop(name) {
			dst[name] = values
		}
	}
	for _, list := range src["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !hopByHop(name) {
				delete(dst, name)
			}
		}
	}
}
