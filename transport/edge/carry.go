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
	ask      admission.Ask // with its targets, in one allocation
	targets  [steering.MaxTargets]admission.Target
	answer   admission.Answer
	server   *state.BackendServer
	start    time.Time
	latency  time.Duration // to the response header
	ctx      context.Context
	cancel   context.CancelCauseFunc
	ticket   *ticket
	idle     *time.Timer // ends an idle read of the body
	deadline *time.Timer // ends the attempt at the deadline of the request
	resp     *http.Response
	proof    backend.Proof
	err      error
}

// carry runs a request: it gets a grant, sends the request, and passes the answer on. It tries another backend server
// only when it is proved that the request has not run, or when running it twice is harmless.
func (m *Manager) carry(w http.ResponseWriter, rq *request) {
	if rq.deadline > 0 {
		rq.expires = time.Now().Add(rq.deadline)
	}
	if rq.http.ContentLength != 0 {
		rq.http.Body = http.MaxBytesReader(rq.seen.Unwrap(), rq.http.Body, m.opts.MaxBody)
	}
	var exclude []state.BackendName
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			m.Stats.Retries.Add(1)
		}
		at, refusal, err := m.open(rq, exclude)
		if err != nil || refusal != message.RefusedNone {
			m.refuse(w, refusal, at.answer.After, err)
			return
		}
		if at.proof == backend.ProofAnswered {
			m.pass(w, rq, at)
			return
		}
		m.discard(at)
		if !mayRetry(rq, at.proof) || rq.ended() {
			m.fail(w, rq, at, at.proof, at.err)
			return
		}
		exclude = append(exclude, at.server.Name)
	}
	m.refuse(w, message.RefusedNoBackend, time.Second, nil)
}

// open gets a grant and sends the request under it. The attempt ends with finish or discard unless there is a refusal or
// an error.
func (m *Manager) open(rq *request, exclude []state.BackendName) (*attempt, message.Refusal, error) {
	ctx, cancel := context.WithCancelCause(rq.http.Context())
	// A timer of its own ends the attempt at the deadline; a second context for that would cost more.
	var deadline *time.Timer
	if !rq.expires.IsZero() {
		deadline = time.AfterFunc(time.Until(rq.expires), func() { cancel(context.DeadlineExceeded) })
	}
	t := newTicket(cancel)
	at, refusal, err := m.admit(ctx, t, rq, exclude)
	if err != nil || refusal != message.RefusedNone {
		if deadline != nil {
			deadline.Stop()
		}
		cancel(nil)
		return at, refusal, err
	}
	at.ctx, at.cancel, at.ticket, at.deadline = ctx, cancel, t, deadline
	at.resp, at.proof, at.err = m.send(ctx, rq, at)
	at.latency = time.Since(at.start)
	if at.proof == backend.ProofAnswered {
		if err := checkFraming(&rq.out, at.resp); err != nil {
			m.Stats.BadAnswers.Add(1)
			at.proof, at.err = backend.ProofNone, err
		}
	}
	return at, message.RefusedNone, nil
}

// finish ends an attempt and gives its grant back.
func (m *Manager) finish(at *attempt, r message.Result) {
	if at.idle != nil {
		at.idle.Stop()
	}
	if at.deadline != nil {
		at.deadline.Stop()
	}
	if at.resp != nil {
		_ = at.resp.Body.Close()
	}
	at.cancel(nil)
	if at.ticket.fenced.Load() {
		m.Stats.Fenced.Add(1)
	}
	m.release(at, r)
}

// discard ends an attempt that gave no answer to pass on.
func (m *Manager) discard(at *attempt) { m.finish(at, resultOf(at.proof, at.err)) }

// mayRetry reports whether the request may be sent to another backend server.
func mayRetry(rq *request, proof backend.Proof) bool {
	if rq.http.ContentLength != 0 && proof != backend.ProofNotSent {
		return false // the body has been read and is not kept
	}
	return proof != backend.ProofNone || !rq.once()
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

// admit gets a grant for the request.
func (m *Manager) admit(ctx context.Context, t *ticket, rq *request, exclude []state.BackendName) (*attempt, message.Refusal, error) {
	at := &attempt{}
	s := rq.snapshot
	targets, refusal := steering.Regions(s, rq.customer, rq.service.Name, at.targets[:0])
	if refusal != message.RefusedNone {
		return at, refusal, nil
	}
	at.ask = admission.Ask{Service: rq.service.Name, Customer: rq.customer, Regions: targets, Wait: rq.wait, Exclude: exclude}
	if err := m.opts.Control.Offer(control.Admit{Ask: &at.ask, Asker: t}); err != nil {
		return at, message.RefusedBusy, nil
	}
	answer, ok := t.wait(ctx)
	if !ok {
		return at, message.RefusedTimeout, context.Cause(ctx)
	}
	at.answer = answer
	if answer.Backend == "" {
		return at, answer.Refusal, nil
	}
	at.server = m.opts.Control.Snapshot().Index.Backend[answer.Backend]
	if at.server == nil { // removed by a configuration that came in meanwhile
		m.release(at, message.ResultUnused)
		return at, message.RefusedNoBackend, nil
	}
	rq.seen.Granted(answer.Region, answer.Backend)
	at.start = time.Now()
	return at, message.RefusedNone, nil
}

func (m *Manager) release(at *attempt, r message.Result) {
	latency := at.latency
	if latency == 0 {
		latency = time.Since(at.start)
	}
	m.opts.Control.Release(at.answer.Region, message.Release{ID: at.answer.ID, Backend: at.answer.Backend, Result: r, Latency: latency})
}

// send sends the request to the backend server of the grant.
func (m *Manager) send(ctx context.Context, rq *request, at *attempt) (*http.Response, backend.Proof, error) {
	in, out := rq.http, &rq.out
	*out = http.Request{
		Method: in.Method, URL: &url.URL{Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Header: make(http.Header, len(in.Header)+1), Host: in.Host, ContentLength: in.ContentLength,
	}
	copyHeader(out.Header, in.Header)
	if in.ContentLength != 0 {
		out.Body = in.Body
	}
	if rq.once() {
		// net/http would send a request with one of these headers and no body again by itself.
		out.Header.Del(callers.HeaderIdempotencyKey)
		out.Header.Del("X-Idempotency-Key")
		out.Header.Del(callers.HeaderSubmissionKey)
		if rq.key != "" {
			out.Header.Set(callers.HeaderSubmissionKey, rq.key)
		}
	}
	if rq.part != nil {
		setPart(out.Header, rq.part)
	}
	d, ok := rq.expires, !rq.expires.IsZero()
	if !ok {
		d, ok = ctx.Deadline()
	}
	if ok {
		out.Header.Set(callers.HeaderDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	resp, proof, err := m.opts.Backends.Do(ctx, backend.Call{Server: at.server, Request: out, FirstByte: rq.service.FirstByteTimeout, Once: rq.once(), Cancel: at.cancel,
		Rate: paceRate(rq.service, rq.snapshot.Self.Region, at.answer.Region)})
	if proof != backend.ProofAnswered {
		rq.seen.Refused(observe.ReasonBackend)
	}
	return resp, proof, err
}

// refuse answers a request that has not run.
func (m *Manager) refuse(w http.ResponseWriter, why message.Refusal, after time.Duration, err error) {
	m.Stats.Refused.Add(1)
	observe.Of(w).Refused(why)
	p := callers.Problem{Status: http.StatusServiceUnavailable, Outcome: callers.OutcomeNotRun, Reason: string(why), Step: "admission"}
	switch why {
	case message.RefusedPlan:
		p.Status = http.StatusForbidden
	case message.RefusedCustomer:
		p.Status = http.StatusTooManyRequests
	}
	if err != nil {
		p.Detail = err.Error()
	}
	if after == 0 && p.Status != http.StatusForbidden {
		after = time.Second
	}
	callers.WriteProblem(w, p, after)
}

// fail answers a request that was sent, or could not be sent, and got no answer.
func (m *Manager) fail(w http.ResponseWriter, rq *request, at *attempt, proof backend.Proof, err error) {
	p := callers.Problem{Status: http.StatusBadGateway, Reason: "backend_failed", Step: "request", Peer: string(at.server.Name), Outcome: callers.OutcomeNotRun}
	if err != nil {
		p.Detail = err.Error()
	}
	if proof == backend.ProofNone && rq.once() {
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
