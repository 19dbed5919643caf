package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/coordination/steering"
	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/observe"
)

// Bounds of submissions.
const (
	MaxBufferedBody = 256 << 10 // bytes; a larger submission is streamed and sent to one backend server only
	// SubmissionTimeout ends a submission whose backend server does not finish its answer, for services without a
	// deadline. It runs on after its caller has gone, so that its outcome is recorded.
	SubmissionTimeout = 60 * time.Second
)

var errAnswerCut = errors.New("the answer ended early")

// submission is a request that must run at most once.
type submission struct {
	*request
	caller  context.Context // ends when the caller disconnects
	body    []byte          // the whole body, or its beginning when rest is set
	rest    io.Reader       // what follows body; it can be read once
	size    int64           // of the whole body in bytes; -1 when not known
	claim   *message.ClaimRequest
	expires time.Time // when its deadline ends
}

// submit runs a submission. Invariants at-most-once and not-run-is-true: it is sent to a second backend server only after
// proof that it did not run at the first, and every way out of this function answers and records the same outcome.
func (m *Manager) submit(w http.ResponseWriter, rq *request) {
	sub := &submission{request: rq, caller: rq.http.Context()}
	limit := rq.deadline
	if limit == 0 {
		limit = SubmissionTimeout
	}
	sub.expires = time.Now().Add(limit)
	if p := sub.read(rq.seen.Unwrap(), m.opts.MaxBody); p != nil {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, *p, 0)
		return
	}
	if _, why := steering.Regions(rq.snapshot, rq.customer, rq.service.Name, nil); why != message.RefusedNone {
		m.refuse(w, why, 0, nil) // before the claim, which would cost a store write
		return
	}
	if rq.key != "" && !m.claim(w, sub) {
		return
	}
	m.run(w, sub)
}

// read buffers the body up to MaxBufferedBody.
func (s *submission) read(w http.ResponseWriter, maxBody int64) *callers.Problem {
	s.size = s.http.ContentLength
	if s.size == 0 {
		return nil
	}
	body := http.MaxBytesReader(w, s.http.Body, maxBody)
	data, err := io.ReadAll(io.LimitReader(body, MaxBufferedBody+1))
	if err != nil {
		p := bad("body", err.Error())
		p.Step = "read request body"
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			p.Status, p.Reason = http.StatusRequestEntityTooLarge, "body_too_large"
		}
		return p
	}
	s.body = data
	if len(data) > MaxBufferedBody {
		s.rest = body
	} else {
		s.size = int64(len(data))
	}
	return nil
}

// rewind makes the body ready for the next attempt.
func (s *submission) rewind() {
	s.http.ContentLength = s.size
	if s.rest != nil {
		s.http.Body = io.NopCloser(io.MultiReader(bytes.NewReader(s.body), s.rest))
	} else {
		s.http.Body = io.NopCloser(bytes.NewReader(s.body))
	}
}

// run gets grants and sends the submission until it ran, or nothing is known, or there is nobody left to ask.
func (m *Manager) run(w http.ResponseWriter, s *submission) {
	var exclude []state.BackendName
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			m.Stats.Retries.Add(1)
		}
		again, done := m.try(w, s, exclude)
		if done {
			return
		}
		exclude = append(exclude, again)
	}
	m.notRun(w, s, message.RefusedNoBackend, time.Second, nil)
}

// try makes one attempt. It returns done unless the submission is proved not to have run and may be sent elsewhere.
func (m *Manager) try(w http.ResponseWriter, s *submission, exclude []state.BackendName) (failed state.BackendName, done bool) {
	// The attempt does not end when the caller disconnects; only the wait for a grant does.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(s.caller))
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, s.expires)
	defer stop()
	t := newTicket(cancel)
	waiting, stopWaiting := context.WithDeadline(s.caller, s.expires)
	at, refusal, err := m.admit(waiting, t, s.request, exclude)
	stopWaiting()
	if err != nil || refusal != message.RefusedNone {
		m.notRun(w, s, refusal, at.answer.After, err)
		return "", true
	}
	s.rewind()
	resp, proof, err := m.send(ctx, s.request, at)
	if proof == backend.ProofAnswered {
		m.passOnce(w, s, at, resp)
		return "", true
	}
	m.release(at, resultOf(proof, err))
	if resp != nil {
		_ = resp.Body.Close()
	}
	if t.fenced.Load() {
		m.Stats.Fenced.Add(1)
	}
	if proof == backend.ProofNone {
		m.unknown(w, s, at, err)
		return "", true
	}
	readOnce := s.rest != nil && proof != backend.ProofNotSent
	if readOnce || ctx.Err() != nil || s.caller.Err() != nil {
		m.report(s, message.Outcome{Kind: message.OutcomeNotRun})
		m.fail(w, s.request, at, proof, err)
		return "", true
	}
	return at.server.Name, false
}

// passOnce passes an answer on and records it. A body up to MaxOutcomeBody is read before the answer begins, so that an
// early end of it can still be answered as unknown.
func (m *Manager) passOnce(w http.ResponseWriter, s *submission, at *attempt, resp *http.Response) {
	defer resp.Body.Close()
	latency := time.Since(at.start)
	head, err := io.ReadAll(io.LimitReader(resp.Body, message.MaxOutcomeBody+1))
	result := message.ResultOK
	if err != nil || resp.StatusCode >= http.StatusInternalServerError {
		result = message.ResultFailed
	}
	release := func() {
		m.opts.Control.Release(at.answer.Region, message.Release{ID: at.answer.ID, Backend: at.answer.Backend, Result: result, Latency: latency})
	}
	if err != nil {
		release()
		m.Stats.CutAnswers.Add(1)
		m.unknown(w, s, at, errors.Wrap(errAnswerCut, err.Error()))
		return
	}
	outcome := message.Outcome{Kind: message.OutcomeRan, StatusCode: resp.StatusCode, Body: head, BodyType: recordedType(resp.Header)}
	whole := len(head) <= message.MaxOutcomeBody
	if whole {
		release()
		m.report(s, outcome)
	}
	h := w.Header()
	copyHeader(h, resp.Header)
	h.Set(callers.HeaderOutcome, string(callers.OutcomeRan))
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil {
		m.Stats.CallerGone.Add(1)
	}
	m.Stats.BytesCarried.Add(uint64(len(head)))
	if whole {
		return
	}
	m.passRest(w, s, resp, outcome, &result)
	release()
	if result == message.ResultFailed && resp.StatusCode < http.StatusInternalServerError {
		panic(http.ErrAbortHandler)
	}
}

// passRest passes on the part of an answer that is too large to be recorded. Its outcome is recorded without the body;
// when the answer ends early, the caller cannot know it, so it is recorded as unknown.
func (m *Manager) passRest(w http.ResponseWriter, s *submission, resp *http.Response, outcome message.Outcome, result *message.Result) {
	buf := m.buffers.Get().(*[]byte)
	n, readErr, writeErr := stream(w, resp.Body, *buf)
	m.buffers.Put(buf)
	m.Stats.BytesCarried.Add(uint64(n))
	if writeErr != nil {
		m.Stats.CallerGone.Add(1)
	}
	outcome.Body, outcome.Omitted = nil, true
	if readErr != nil {
		m.Stats.CutAnswers.Add(1)
		*result = message.ResultFailed
		outcome = message.Outcome{Kind: message.OutcomeUnknown}
	}
	m.report(s, outcome)
}

// maxRecordedType bounds the content type of a recorded answer, in bytes.
const maxRecordedType = 128

func recordedType(h http.Header) string {
	t := h.Get("Content-Type")
	if len(t) > maxRecordedType {
		return "application/octet-stream"
	}
	return t
}

// notRun answers and records a submission of which no byte was sent, or that every backend server refused.
func (m *Manager) notRun(w http.ResponseWriter, s *submission, why message.Refusal, after time.Duration, err error) {
	m.report(s, message.Outcome{Kind: message.OutcomeNotRun})
	m.refuse(w, why, after, err)
}

// unknown answers and records a submission that was sent and has no proof of its outcome.
func (m *Manager) unknown(w http.ResponseWriter, s *submission, at *attempt, err error) {
	m.report(s, message.Outcome{Kind: message.OutcomeUnknown})
	m.fail(w, s.request, at, backend.ProofNone, err)
}

// report records the outcome of a claimed submission.
func (m *Manager) report(s *submission, o message.Outcome) {
	if s.claim == nil {
		return
	}
	m.opts.Control.Report(&message.OutcomeReport{
		Key: s.claim.Key, Attempt: s.claim.Attempt, Fingerprint: s.claim.Fingerprint, Outcome: o,
	})
}

// claim gets the right to send a submission with an idempotency key. It returns false when it has answered instead.
func (m *Manager) claim(w http.ResponseWriter, s *submission) bool {
	req := &message.ClaimRequest{
		Key:         claims.KeyOf(s.customer, s.service.Name, s.key),
		Fingerprint: claims.Fingerprint(s.http.Method, s.http.URL.RequestURI(), s.size, s.body),
		Attempt:     claims.NewAttempt(),
	}
	t := newClaimTicket()
	if m.opts.Control.Offer(control.Claim{Request: req, Waiter: t}) != nil {
		m.unprovable(w, string(message.RefusedBusy))
		return false
	}
	waiting, stop := context.WithDeadline(s.caller, s.expires)
	defer stop()
	reply, ok := t.wait(waiting)
	if !ok {
		m.unprovable(w, string(message.RefusedTimeout))
		return false
	}
	if reply.Status != message.ClaimGranted {
		m.answerClaim(w, reply)
		return false
	}
	s.claim = req
	return true
}

// answerClaim answers a submission whose claim was not granted. This attempt was not sent; the answer tells what is known
// of the submission as a whole.
func (m *Manager) answerClaim(w http.ResponseWriter, reply *message.ClaimReply) {
	p := callers.Problem{Step: "claim", Outcome: callers.OutcomeNotRun}
	defer func() { observe.Of(w).Refused(message.Refusal(p.Reason)) }()
	switch reply.Status {
	case message.ClaimRan:
		m.replay(w, &reply.Outcome)
		return
	case message.ClaimPending:
		m.Stats.Unknown.Add(1)
		p.Status, p.Reason, p.Outcome = http.StatusConflict, "outcome_unknown", callers.OutcomeUnknown
		p.Detail = "an earlier attempt with this key was sent and its outcome is not known"
		callers.WriteProblem(w, p, time.Second) // it may still run, and its outcome be recorded soon
		return
	case message.ClaimMismatch:
		m.Stats.Malformed.Add(1)
		p.Status, p.Reason = http.StatusUnprocessableEntity, "key_reused"
		p.Detail = "this key was used for a submission with another method, path or body"
		callers.WriteProblem(w, p, 0)
		return
	case message.ClaimUncertain:
		m.unprovable(w, "claim_uncertain")
	default:
		m.unprovable(w, "claim_unavailable")
	}
}

// unprovable answers a keyed submission whose key could not be looked up. This request was not sent, but one with the same
// key may have run before, so "not run" would not be proved (invariant not-run-is-true).
func (m *Manager) unprovable(w http.ResponseWriter, reason string) {
	m.Stats.Unknown.Add(1)
	callers.WriteProblem(w, callers.Problem{
		Status: http.StatusServiceUnavailable, Reason: reason, Outcome: callers.OutcomeUnknown, Step: "claim",
		Detail: "this request was not sent; whether an earlier one with the same key ran cannot be looked up at present",
	}, time.Second)
}

// replay answers with the recorded answer of an earlier attempt.
func (m *Manager) replay(w http.ResponseWriter, o *message.Outcome) {
	m.Stats.Replayed.Add(1)
	h := w.Header()
	if o.BodyType != "" {
		h.Set("Content-Type", o.BodyType)
	}
	h.Set(callers.HeaderOutcome, string(callers.OutcomeRan))
	h.Set(callers.HeaderReplayed, "1")
	if o.Omitted {
		h.Set(callers.HeaderAnswerOmitted, "1")
	}
	w.WriteHeader(o.StatusCode)
	_, _ = w.Write(o.Body) // the caller may be gone
}
