package edge

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/coordination/steering"
	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/observe"
)

var errFenced = errors.New("the grant could not be renewed in time")

// attempt is one try of a request at one backend server.
type attempt struct {
	ask           admission.Ask // allocated together with targets
	targets       [steering.MaxTargets]admission.Target
	answer        admission.Answer
	server        *state.BackendServer
	start         time.Time
	latency       time.Duration // to the response header
	ctx           context.Context
	cancel        context.CancelCauseFunc
	waiter        *grantWaiter
	idleTimer     *time.Timer // cancels the attempt when a read of the body gets no data
	deadlineTimer *time.Timer // cancels the attempt at the deadline of the request
	resp          *http.Response
	proof         backend.Proof
	err           error
}

// forward gets a grant for a request, sends it to the granted backend server and forwards the answer. It retries at another
// backend server only with proof that the request has not run, or when running it twice is harmless.
func (m *Manager) forward(w http.ResponseWriter, rq *request) {
	if rq.deadline > 0 {
		rq.expires = time.Now().Add(rq.deadline)
		rq.body.limit(rq.expires)
	}
	if rq.http.ContentLength != 0 {
		rq.http.Body = http.MaxBytesReader(rq.observed.Unwrap(), rq.http.Body, m.opts.MaxBody)
	}
	var exclude []state.BackendName
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			m.Stats.Retries.Add(1)
		}
		a, refusal, err := m.open(rq, exclude)
		if err != nil || refusal != message.RefusedNone {
			m.refuse(w, refusal, a.answer.RetryAfter, err)
			return
		}
		if a.proof == backend.ProofAnswered {
			m.forwardAnswer(w, rq, a)
			return
		}
		m.discard(a)
		if !mayRetry(rq, a.proof) || rq.ended() {
			m.fail(w, rq, a, a.proof, a.err)
			return
		}
		exclude = append(exclude, a.server.Name)
	}
	m.refuse(w, message.RefusedNoBackend, time.Second, nil)
}

// open gets a grant and sends the request under it. Its caller ends the attempt with finish or discard, unless open returns
// a refusal or an error.
func (m *Manager) open(rq *request, exclude []state.BackendName) (*attempt, message.Refusal, error) {
	ctx, cancel := context.WithCancelCause(rq.http.Context())
	// A timer ends the attempt at the deadline, because a second context costs more.
	var deadlineTimer *time.Timer
	if !rq.expires.IsZero() {
		deadlineTimer = time.AfterFunc(time.Until(rq.expires), func() { cancel(context.DeadlineExceeded) })
	}
	waiter := newGrantWaiter(cancel)
	a, refusal, err := m.admit(ctx, waiter, rq, exclude)
	if err != nil || refusal != message.RefusedNone {
		if deadlineTimer != nil {
			deadlineTimer.Stop()
		}
		cancel(nil)
		return a, refusal, err
	}
	a.ctx, a.cancel, a.waiter, a.deadlineTimer = ctx, cancel, waiter, deadlineTimer
	a.resp, a.proof, a.err = m.send(ctx, rq, a)
	a.latency = time.Since(a.start)
	if a.proof == backend.ProofAnswered {
		if err := checkFraming(&rq.out, a.resp); err != nil {
			m.Stats.BadAnswers.Add(1)
			a.proof, a.err = backend.ProofNone, err
		}
	}
	return a, message.RefusedNone, nil
}

// finish ends an attempt and releases its grant with result r.
func (m *Manager) finish(a *attempt, r message.Result) {
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	if a.deadlineTimer != nil {
		a.deadlineTimer.Stop()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.cancel(nil)
	if a.waiter.fenced.Load() {
		m.Stats.Fenced.Add(1)
	}
	m.release(a, r)
}

// discard ends an attempt that got no answer to forward.
func (m *Manager) discard(a *attempt) { m.finish(a, resultOf(a.proof, a.err)) }

// mayRetry reports whether the request may be sent to another backend server.
func mayRetry(rq *request, proof backend.Proof) bool {
	if rq.http.ContentLength != 0 && proof != backend.ProofNotSent {
		return false // the body has been read and is not buffered
	}
	return proof != backend.ProofNone || !rq.atMostOnce()
}

func resultOf(proof backend.Proof, err error) message.Result {
	switch {
	case proof == backend.ProofRefused:
		return message.ResultShed
	case errors.Is(err, backend.ErrFirstByte), errors.Is(err, errBodyIdle):
		return message.ResultTimeout
	default:
		return message.ResultFailed
	}
}

// admit requests a grant from the control goroutine and waits for the answer until ctx ends.
func (m *Manager) admit(ctx context.Context, waiter *grantWaiter, rq *request, exclude []state.BackendName) (*attempt, message.Refusal, error) {
	a := &attempt{}
	s := rq.snapshot
	targets, refusal := steering.Regions(s, rq.customer, rq.service.Name, a.targets[:0])
	if refusal != message.RefusedNone {
		return a, refusal, nil
	}
	a.ask = admission.Ask{Service: rq.service.Name, Customer: rq.customer, Regions: targets, Wait: rq.maxWait, Exclude: exclude}
	if err := m.opts.Control.Offer(control.Admit{Ask: &a.ask, Requester: waiter}); err != nil {
		return a, message.RefusedBusy, nil
	}
	answer, ok := waiter.wait(ctx)
	if !ok {
		return a, message.RefusedTimeout, context.Cause(ctx)
	}
	a.answer = answer
	if answer.Backend == "" {
		return a, answer.Refusal, nil
	}
	a.server = m.opts.Control.Snapshot().Index.Backend[answer.Backend]
	if a.server == nil { // removed by a newer configuration
		m.release(a, message.ResultUnused)
		return a, message.RefusedNoBackend, nil
	}
	rq.observed.Granted(answer.Region, answer.Backend)
	a.start = time.Now()
	return a, message.RefusedNone, nil
}

func (m *Manager) release(a *attempt, r message.Result) {
	latency := a.latency
	if latency == 0 {
		latency = time.Since(a.start)
	}
	m.opts.Control.Release(a.answer.Region, message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: r, Latency: latency})
}

// send sends the request to the backend server of the grant.
func (m *Manager) send(ctx context.Context, rq *request, a *attempt) (*http.Response, backend.Proof, error) {
	in, out := rq.http, &rq.out
	*out = http.Request{
		Method: in.Method, URL: &url.URL{Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Header: make(http.Header, len(in.Header)+1), Host: in.Host, ContentLength: in.ContentLength,
	}
	copyHeader(out.Header, in.Header)
	if in.ContentLength != 0 {
		out.Body = in.Body
	}
	if rq.atMostOnce() {
		// net/http retries a request that has one of these headers and no body.
		out.Header.Del(callers.HeaderIdempotencyKey)
		out.Header.Del("X-Idempotency-Key")
		out.Header.Del(callers.HeaderSubmissionKey)
		if rq.key != "" {
			out.Header.Set(callers.HeaderSubmissionKey, rq.key)
		}
	}
	if rq.resumeRange != nil {
		setRange(out.Header, rq.resumeRange)
	}
	deadline, ok := rq.expires, !rq.expires.IsZero()
	if !ok {
		deadline, ok = ctx.Deadline()
	}
	if ok {
		out.Header.Set(callers.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	resp, proof, err := m.opts.Backends.Do(ctx, backend.Call{Server: a.server, Request: out, FirstByte: rq.service.FirstByteTimeout, Once: rq.atMostOnce(), Cancel: a.cancel,
		Rate: paceRate(rq.service, rq.snapshot.Self.Region, a.answer.Region)})
	if proof != backend.ProofAnswered {
		rq.observed.Refused(observe.ReasonBackend)
	}
	return resp, proof, err
}

// refuse answers a request that has not run.
func (m *Manager) refuse(w http.ResponseWriter, refusal message.Refusal, retryAfter time.Duration, err error) {
	m.Stats.Refused.Add(1)
	observe.FromWriter(w).Refused(refusal)
	p := callers.Problem{Status: http.StatusServiceUnavailable, Outcome: callers.OutcomeNotRun, Reason: string(refusal), Step: "admission"}
	switch refusal {
	case message.RefusedPlan:
		p.Status = http.StatusForbidden
	case message.RefusedCustomer:
		p.Status = http.StatusTooManyRequests
	}
	if err != nil {
		p.Detail = err.Error()
	}
	if retryAfter == 0 && p.Status != http.StatusForbidden {
		retryAfter = time.Second
	}
	callers.WriteProblem(w, p, retryAfter)
}

// fail answers a request that got no answer to forward from its backend server; proof says whether it may have run.
func (m *Manager) fail(w http.ResponseWriter, rq *request, a *attempt, proof backend.Proof, err error) {
	p := callers.Problem{Status: http.StatusBadGateway, Reason: "backend_failed", Step: "request", Peer: string(a.server.Name), Outcome: callers.OutcomeNotRun}
	if err != nil {
		p.Detail = err.Error()
	}
	if proof == backend.ProofNone && rq.atMostOnce() {
		m.Stats.Unknown.Add(1)
		p.Outcome, p.Reason = callers.OutcomeUnknown, "outcome_unknown"
		callers.WriteProblem(w, p, 0)
		return
	}
	m.Stats.Refused.Add(1)
	if proof == backend.ProofNone {
		// The request is idempotent, so its caller may repeat it although it may have run.
		p.Outcome = callers.OutcomeUnknown
	}
	callers.WriteProblem(w, p, time.Second)
}
