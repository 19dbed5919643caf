package observe

import (
	"net/http"
	"sync"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/state/report"
)

// Request records one request. It wraps the response writer, and the handler writes to it. Only the goroutine of the request
// may use it.
type Request struct {
	http.ResponseWriter
	rec        *Recorder
	snapshot   *state.Snapshot
	start      state.Instant
	firstByte  time.Duration
	status     int
	identified bool // key and snapshot are set
	key        key
	granted    bool
	done       bool
	region     state.RegionName
	backend    state.BackendName
	attempts   int
	refusal    message.Refusal
	refusals   []message.Refusal // of the first maxRefusals attempts that were refused; the array is reused
	bytes      uint64
}

var requestPool = sync.Pool{New: func() any { return new(Request) }}

// maxRefusals bounds the refusals recorded for one request.
const maxRefusals = 4

// Begin starts recording a request that has just arrived. The handler must call End on every return path.
func (r *Recorder) Begin(w http.ResponseWriter) *Request {
	q := requestPool.Get().(*Request)
	*q = Request{ResponseWriter: w, rec: r, start: r.clock(), refusals: q.refusals[:0]}
	return q
}

// Identify sets the customer and the service of the request. Requests that are not identified are not recorded.
func (q *Request) Identify(s *state.Snapshot, customer state.CustomerName, service state.ServiceName) {
	q.snapshot, q.key, q.identified = s, key{customer, service}, true
}

// FromWriter returns w as a *Request, or nil if w is another kind of writer.
func FromWriter(w http.ResponseWriter) *Request {
	q, _ := w.(*Request)
	return q
}

// Granted records that a region granted the request a slot at a backend server. A nil Request ignores the call.
func (q *Request) Granted(region state.RegionName, backend state.BackendName) {
	if q == nil {
		return
	}
	q.granted, q.region, q.backend = true, region, backend
	q.attempts++
}

// Refused records that an attempt was refused or failed. The last reason is the one that is counted. A nil Request ignores the
// call.
func (q *Request) Refused(reason message.Refusal) {
	if q == nil {
		return
	}
	if reason == message.RefusedNone {
		reason = message.RefusedTimeout // the deadline passed or the caller disconnected while the request waited
	}
	q.refusal = reason
	if len(q.refusals) < maxRefusals {
		q.refusals = append(q.refusals, reason)
	}
}

// Complete records that the handler has returned and the response is complete.
func (q *Request) Complete() { q.done = true }

// WriteHeader records the status and the time of the first byte of the final response (status 200 or higher).
func (q *Request) WriteHeader(status int) {
	if q.status == 0 && status >= http.StatusOK {
		q.status, q.firstByte = status, q.rec.clock().Sub(q.start)
	}
	q.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the response body.
func (q *Request) Write(b []byte) (int, error) {
	if q.status == 0 {
		q.WriteHeader(http.StatusOK)
	}
	n, err := q.ResponseWriter.Write(b)
	q.bytes += uint64(n)
	return n, err
}

// Flush sends the buffered data if the wrapped writer can.
func (q *Request) Flush() {
	if f, ok := q.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (q *Request) Unwrap() http.ResponseWriter { return q.ResponseWriter }

// outcome derives the outcome of the request from the response that the caller received.
func (q *Request) outcome() Outcome {
	switch {
	case q.status == 0:
		return OutcomeNone
	case !q.done:
		return OutcomeCut
	}
	value := q.Header()[callers.HeaderOutcome]
	if len(value) == 0 {
		return OutcomeNotRun
	}
	switch callers.Outcome(value[0]) {
	case callers.OutcomeRan:
		return OutcomeRan
	case callers.OutcomeUnknown:
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// End records the request. It returns q to a pool, so q must not be used afterwards.
func (q *Request) End() {
	if q.identified {
		q.rec.record(q, q.rec.clock())
	}
	q.ResponseWriter, q.snapshot = nil, nil // so that the pool does not retain them; Begin sets the rest
	requestPool.Put(q)
}

func (r *Recorder) record(q *Request, now state.Instant) {
	o, whole := q.outcome(), now.Sub(q.start)
	r.recordDecision(q, o, whole, now)
	if q.bytes > 0 && q.granted && q.region != q.snapshot.Self.Region {
		if l := r.link(q.region); l != nil {
			l.bytes.Add(q.bytes)
		} else {
			r.Stats.LinkOverflow.Add(1)
		}
	}
	p := r.pair(q.key)
	if p == nil {
		r.Stats.Overflow.Add(1)
		return
	}
	p.count(q, o, whole)
}

func (p *pair) count(q *Request, o Outcome, whole time.Duration) {
	granted := 0
	if q.granted {
		granted = 1
	}
	p.ended[granted][o].Add(1)
	switch {
	case o == OutcomeRan:
		p.firstByte[report.Bucket(q.firstByte)].Add(1)
		p.whole[report.Bucket(whole)].Add(1)
	case q.refusal != message.RefusedNone && o == OutcomeNotRun:
		p.refused[reasonIndex(q.refusal)].Add(1)
	}
}
