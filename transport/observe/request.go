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

// Request observes one request: it is the response writer that the handler writes to. It belongs to the goroutine of the
// request.
type Request struct {
	http.ResponseWriter
	rec       *Recorder
	snapshot  *state.Snapshot
	start     state.Instant
	firstByte time.Duration
	status    int
	known     bool // customer and service are set
	key       key
	granted   bool
	done      bool
	region    state.RegionName
	backend   state.BackendName
	attempts  int
	refusal   message.Refusal
	refusals  []message.Refusal // of all attempts; the array is reused
	bytes     uint64
}

var requests = sync.Pool{New: func() any { return new(Request) }}

// maxRefusals bounds the refusals kept for one request.
const maxRefusals = 4

// Begin starts the observation of a request that has just arrived. Call End on every way out.
func (r *Recorder) Begin(w http.ResponseWriter) *Request {
	q := requests.Get().(*Request)
	*q = Request{ResponseWriter: w, rec: r, start: r.clock(), refusals: q.refusals[:0]}
	return q
}

// Identify tells whose request it is. Requests that are not identified are not recorded.
func (q *Request) Identify(s *state.Snapshot, customer state.CustomerName, service state.ServiceName) {
	q.snapshot, q.key, q.known = s, key{customer, service}, true
}

// Of returns the observation of the request that w answers, or nil.
func Of(w http.ResponseWriter) *Request {
	q, _ := w.(*Request)
	return q
}

// Granted tells that a region granted the request a slot at a backend server.
func (q *Request) Granted(region state.RegionName, backend state.BackendName) {
	if q == nil {
		return
	}
	q.granted, q.region, q.backend = true, region, backend
	q.attempts++
}

// Refused tells that an attempt was refused, or failed, for a reason. The last reason counts.
func (q *Request) Refused(why message.Refusal) {
	if q == nil {
		return
	}
	if why == message.RefusedNone {
		why = message.RefusedTimeout // the deadline ended or the caller left while waiting
	}
	q.refusal = why
	if len(q.refusals) < maxRefusals {
		q.refusals = append(q.refusals, why)
	}
}

// Done tells that the handler has returned and the answer is whole.
func (q *Request) Done() { q.done = true }

// WriteHeader notes the time of the first byte.
func (q *Request) WriteHeader(status int) {
	if q.status == 0 && status >= http.StatusOK {
		q.status, q.firstByte = status, q.rec.clock().Sub(q.start)
	}
	q.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the answer.
func (q *Request) Write(b []byte) (int, error) {
	if q.status == 0 {
		q.WriteHeader(http.StatusOK)
	}
	n, err := q.ResponseWriter.Write(b)
	q.bytes += uint64(n)
	return n, err
}

// Flush sends what is buffered.
func (q *Request) Flush() {
	if f, ok := q.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap returns the writer for http.ResponseController.
func (q *Request) Unwrap() http.ResponseWriter { return q.ResponseWriter }

// outcome reads how the request ended from the answer that the caller got.
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

// End records the request. The observation must not be used afterwards.
func (q *Request) End() {
	if q.known {
		q.rec.record(q, q.rec.clock())
	}
	q.ResponseWriter, q.snapshot = nil, nil // what is large; Begin sets the rest
	requests.Put(q)
}

func (r *Recorder) record(q *Request, now state.Instant) {
	o, whole := q.outcome(), now.Sub(q.start)
	r.decide(q, o, whole, now)
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
