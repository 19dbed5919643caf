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
	"azurebridge/transport/membudget"
	"azurebridge/transport/observe"
)

// Bounds of submissions.
const (
	MaxBufferedBody = 256 << 10 // bytes; a larger submission is streamed and sent to one backend server only
	// SubmissionTimeout is the deadline of a submission for which neither the service nor the caller sets one. A submission
	// continues after its caller has disconnected, so that its outcome is recorded; this limit ends it.
	SubmissionTimeout = 60 * time.Second
)

var errAnswerTruncated = errors.New("the answer ended early")

// submission is a request that must run at most once.
type submission struct {
	*request
	callerCtx context.Context // ends when the caller disconnects
	memory    *membudget.Hold
	body      []byte    // the whole body, or its beginning when rest is set
	rest      io.Reader // what follows body; it can be read once
	size      int64     // of the whole body in bytes; -1 when unknown
	claim     *message.ClaimRequest
	expires   time.Time // when its deadline ends
}

// submit runs a submission. Invariants at-most-once and not-run-is-true: it is sent to a second backend server only after
// proof that it did not run at the first, and every return path answers and records the same outcome.
func (m *Manager) submit(w http.ResponseWriter, rq *request) {
	sub := &submission{request: rq, callerCtx: rq.http.Context()}
	limit := rq.deadline
	if limit == 0 {
		limit = SubmissionTimeout
	}
	sub.expires = time.Now().Add(limit)
	account := m.memory.Open(rq.body)
	defer account.Close()
	sub.memory = account.Hold(useOf(rq.http.ContentLength))
	defer sub.memory.Free()
	if p, retryAfter := sub.read(rq.observed.Unwrap(), m.opts.MaxBody); p != nil {
		m.countUnread(p)
		w.Header()["Connection"] = connectionClose // the rest of the body is not read
		callers.WriteProblem(w, *p, retryAfter)
		return
	}
	if _, refusal := steering.Regions(rq.snapshot, rq.customer, rq.service.Name, nil); refusal != message.RefusedNone {
		m.refuse(w, refusal, 0, nil) // before the claim, which would cost a store write
		return
	}
	if rq.key != "" && !m.claim(w, sub) {
		return
	}
	m.sendSubmission(w, sub)
}

// useOf returns what the memory of a submission with a body of the announced size is for.
func useOf(announced int64) membudget.Use {
	if membudget.IsSmall(announced) {
		return membudget.Arriving
	}
	return membudget.Large
}

// countUnread counts a submission whose body could not be read.
func (m *Manager) countUnread(p *callers.Problem) {
	switch p.Status {
	case http.StatusServiceUnavailable:
		m.Stats.NoMemory.Add(1)
	case http.StatusRequestTimeout:
		m.Stats.SlowBodies.Add(1)
	default:
		m.Stats.Malformed.Add(1)
	}
}

// read buffers the body up to MaxBufferedBody. It returns the answer to a submission whose body cannot be read, and the time after
// which its caller may retry.
func (s *submission) read(w http.ResponseWriter, maxBody int64) (*callers.Problem, time.Duration) {
	if !s.memory.Reserve(submissionCost) {
		return s.request.body.problem(membudget.ErrExhausted)
	}
	s.size = s.http.ContentLength
	if s.size == 0 {
		s.memory.Arrived()
		return nil, 0
	}
	s.request.body.limit(s.expires)
	source := http.MaxBytesReader(w, s.http.Body, maxBody)
	buffer := membudget.NewBuffer(s.memory, s.size, MaxBufferedBody)
	err := buffer.Fill(source)
	switch {
	case err == nil:
		s.size = int64(len(buffer.Bytes()))
	case errors.Is(err, membudget.ErrFull):
		s.rest = buffer.Rest(source)
	default:
		return s.request.body.problem(err)
	}
	s.body = buffer.Bytes()
	s.memory.Arrived()
	return nil, 0
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

// sendSubmission sends the submission to one backend server after another, until it has run, its outcome is unknown, or no
// server is left.
func (m *Manager) sendSubmission(w http.ResponseWriter, s *submission) {
	var exclude []state.BackendName
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			m.Stats.Retries.Add(1)
		}
		failed, done := m.trySend(w, s, exclude)
		if done {
			return
		}
		exclude = append(exclude, failed)
	}
	m.answerNotRun(w, s, message.RefusedNoBackend, time.Second, nil)
}

// trySend makes one attempt. done is false only when the submission provably has not run and may be retried; failed then
// names the server to exclude.
func (m *Manager) trySend(w http.ResponseWriter, s *submission, exclude []state.BackendName) (failed state.BackendName, done bool) {
	// The attempt does not end when the caller disconnects; only the wait for a grant does.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(s.callerCtx))
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, s.expires)
	defer stop()
	waiter := newGrantWaiter(cancel)
	waitCtx, cancelWait := context.WithDeadline(s.callerCtx, s.expires)
	a, refusal, err := m.admit(waitCtx, waiter, s.request, exclude)
	cancelWait()
	if err != nil || refusal != message.RefusedNone {
		m.answerNotRun(w, s, refusal, a.answer.RetryAfter, err)
		return "", true
	}
	s.rewind()
	resp, proof, err := m.send(ctx, s.request, a)
	if proof == backend.ProofAnswered {
		if err = checkFraming(&s.out, resp); err == nil {
			m.forwardSubmissionAnswer(w, s, a, resp)
			return "", true
		}
		m.Stats.BadAnswers.Add(1)
		proof = backend.ProofNone // it has run, but whether the answer is whole cannot be told
	}
	m.release(a, resultOf(proof, err))
	if resp != nil {
		_ = resp.Body.Close()
	}
	if waiter.fenced.Load() {
		m.Stats.Fenced.Add(1)
	}
	if proof == backend.ProofNone {
		m.answerUnknown(w, s, a, err)
		return "", true
	}
	readOnce := s.rest != nil && proof != backend.ProofNotSent
	if readOnce || ctx.Err() != nil || s.callerCtx.Err() != nil {
		m.reportOutcome(s, message.Outcome{Kind: message.OutcomeNotRun})
		m.fail(w, s.request, a, proof, err)
		return "", true
	}
	return a.server.Name, false
}

// forwardSubmissionAnswer forwards an answer and records the outcome. It reads up to MaxOutcomeBody bytes of the body before
// it writes the header, so that a body that ends early in them can still be answered as unknown.
func (m *Manager) forwardSubmissionAnswer(w http.ResponseWriter, s *submission, a *attempt, resp *http.Response) {
	defer resp.Body.Close()
	latency := time.Since(a.start)
	head, err := io.ReadAll(io.LimitReader(resp.Body, message.MaxOutcomeBody+1))
	result := message.ResultOK
	if err != nil || resp.StatusCode >= http.StatusInternalServerError {
		result = message.ResultFailed
	}
	release := func() {
		m.opts.Control.Release(a.answer.Region, message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: result, Latency: latency})
	}
	if err != nil {
		release()
		m.Stats.CutAnswers.Add(1)
		m.answerUnknown(w, s, a, errors.Wrap(errAnswerTruncated, err.Error()))
		return
	}
	outcome := message.Outcome{Kind: message.OutcomeRan, StatusCode: resp.StatusCode, Body: head, BodyType: recordedContentType(resp.Header)}
	complete := len(head) <= message.MaxOutcomeBody
	if complete {
		release()
		m.reportOutcome(s, outcome)
	}
	h := w.Header()
	copyHeader(h, resp.Header)
	h.Set(callers.HeaderOutcome, string(callers.OutcomeRan))
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil {
		m.Stats.CallerGone.Add(1)
	}
	m.Stats.BytesCarried.Add(uint64(len(head)))
	if complete {
		return
	}
	whole := m.forwardRemainder(w, s, resp, outcome)
	if !whole {
		result = message.ResultFailed
	}
	release()
	if !whole {
		abort(s.http)
	}
}

// forwardRemainder forwards the rest of an answer that is too large to be recorded, and records the outcome without the body.
// When the answer ends early, the caller cannot know the outcome, so it is recorded as unknown, and whole is false.
func (m *Manager) forwardRemainder(w http.ResponseWriter, s *submission, resp *http.Response, outcome message.Outcome) (whole bool) {
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
		outcome = message.Outcome{Kind: message.OutcomeUnknown}
	}
	m.reportOutcome(s, outcome)
	return readErr == nil
}

// maxRecordedContentType bounds the content type of a recorded answer, in bytes.
const maxRecordedContentType = 128

func recordedContentType(h http.Header) string {
	t := h.Get("Content-Type")
	if len(t) > maxRecordedContentType {
		return "application/octet-stream"
	}
	return t
}

// answerNotRun answers and records "not run" for a submission of which no byte was sent, or that every backend server
// refused.
func (m *Manager) answerNotRun(w http.ResponseWriter, s *submission, refusal message.Refusal, retryAfter time.Duration, err error) {
	m.reportOutcome(s, message.Outcome{Kind: message.OutcomeNotRun})
	m.refuse(w, refusal, retryAfter, err)
}

// answerUnknown answers and records "unknown" for a submission that was sent and has no proof of its outcome.
func (m *Manager) answerUnknown(w http.ResponseWriter, s *submission, a *attempt, err error) {
	m.reportOutcome(s, message.Outcome{Kind: message.OutcomeUnknown})
	m.fail(w, s.request, a, backend.ProofNone, err)
}

// reportOutcome records the outcome of a claimed submission.
func (m *Manager) reportOutcome(s *submission, o message.Outcome) {
	if s.claim == nil {
		return
	}
	m.opts.Control.Report(&message.OutcomeReport{
		Key: s.claim.Key, Attempt: s.claim.Attempt, Fingerprint: s.claim.Fingerprint, Outcome: o,
	})
}

// claim acquires the right to send a submission with an idempotency key. When it returns false, it has written the answer.
func (m *Manager) claim(w http.ResponseWriter, s *submission) bool {
	req := &message.ClaimRequest{
		Key:         claims.KeyOf(s.customer, s.service.Name, s.key),
		Fingerprint: claims.Fingerprint(s.http.Method, s.http.URL.RequestURI(), s.size, s.body),
		Attempt:     claims.NewAttempt(),
	}
	waiter := newClaimWaiter()
	if m.opts.Control.Offer(control.Claim{Request: req, Waiter: waiter}) != nil {
		m.answerClaimFailed(w, string(message.RefusedBusy))
		return false
	}
	waitCtx, cancelWait := context.WithDeadline(s.callerCtx, s.expires)
	defer cancelWait()
	reply, ok := waiter.wait(waitCtx)
	if !ok {
		m.answerClaimFailed(w, string(message.RefusedTimeout))
		return false
	}
	if reply.Status != message.ClaimGranted {
		m.answerClaim(w, reply)
		return false
	}
	s.claim = req
	return true
}

// answerClaim answers a submission whose claim was not granted. This attempt was not sent; the answer reports what is known
// of earlier attempts with the same key.
func (m *Manager) answerClaim(w http.ResponseWriter, reply *message.ClaimReply) {
	p := callers.Problem{Step: "claim", Outcome: callers.OutcomeNotRun}
	defer func() { observe.FromWriter(w).Refused(message.Refusal(p.Reason)) }()
	switch reply.Status {
	case message.ClaimRan:
		m.replay(w, &reply.Outcome)
		return
	case message.ClaimPending:
		m.Stats.Unknown.Add(1)
		p.Status, p.Reason, p.Outcome = http.StatusConflict, "outcome_unknown", callers.OutcomeUnknown
		p.Detail = "an earlier attempt with this key was sent and its outcome is not known"
		callers.WriteProblem(w, p, time.Second) // the earlier attempt may still run and its outcome be recorded soon
		return
	case message.ClaimMismatch:
		m.Stats.Malformed.Add(1)
		p.Status, p.Reason = http.StatusUnprocessableEntity, "key_reused"
		p.Detail = "this key was used for a submission with another method, path or body"
		callers.WriteProblem(w, p, 0)
		return
	case message.ClaimUncertain:
		m.answerClaimFailed(w, "claim_uncertain")
	default:
		m.answerClaimFailed(w, "claim_unavailable")
	}
}

// answerClaimFailed answers "unknown" for a keyed submission whose key could not be looked up. This request was not sent, but
// an earlier one with the same key may have run, so "not run" would not be proved (invariant not-run-is-true).
func (m *Manager) answerClaimFailed(w http.ResponseWriter, reason string) {
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
	_, _ = w.Write(o.Body) // the caller may have disconnected
}
