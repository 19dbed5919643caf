package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/placement"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/transport/backendconn"
)

// Times and bounds of forwarding to backend servers.
const (
	// answerGrace is how long after its timeout a request still waits for the server's own answer, which states whether it
	// has run.
	answerGrace = 100 * time.Millisecond
	// maxTries bounds the servers tried for one request, including those to which no connection could be opened.
	maxTries = 6
	// safeIdle is the max idle time of a connection for a request that must not be repeated. The longer a connection has been
	// idle, the more likely it is dead, and then it is unknown whether the request has run.
	safeIdle = 2 * time.Second
	// noIdleBound leaves the server's own idle timeout as the only bound.
	noIdleBound = time.Hour
	// minTimeLeft is the min time left for a retry to be useful.
	minTimeLeft = 20 * time.Millisecond
)

// forward sends the request to backend servers until one answers or no further try is allowed.
func (q *request) forward() {
	ctx, cancel := q.context()
	defer cancel()
	defer q.endProbe()
	service := q.view.Services[q.service]
	if service != nil {
		service.Budget.RecordRequest(q.arrived, *q.m.retry.Load())
		q.recordArrival(service)
	}
	var failure *backendconn.Answer // a server's own failure, forwarded when no other server answers
	defer func() { discardRest(failure) }()
	for range maxTries {
		if !q.readmit() {
			break
		}
		server, ok := q.nextServer()
		if !ok {
			break
		}
		answer, err := q.exchange(ctx, server)
		if err != nil {
			if q.finishIfDone(ctx) {
				return
			}
			if !q.canRetry() || !q.admitAgain() {
				break
			}
			continue
		}
		if answer.NotRun {
			if q.rest != nil || !q.admitAgain() {
				break // part of the body has been streamed to the server and is no longer available
			}
			continue
		}
		q.ran = true
		if answer.acceptable() {
			q.writeServed(answer, server)
			return
		}
		if answer.forwardable() {
			discardRest(failure)
			failure = answer.Answer
		} else {
			discardRest(answer.Answer)
		}
		if !q.canRetry() || !q.admitAgain() {
			break
		}
	}
	q.answerFailure(failure)
}

// nextServer chooses the server for the next try. It returns false when no further try is possible or allowed.
func (q *request) nextServer() (*catalog.Server, bool) {
	m := q.m
	now := m.opts.Loop.Now()
	if q.sent > 0 {
		if q.sent >= q.route.MaxAttempts || q.timeLeft() < minTimeLeft {
			return nil, false
		}
	}
	q.view = m.opts.Loop.View()
	if q.quarantined(now) {
		return nil, false
	}
	wanted := q.wanted(now)
	choice, reason := placement.Place(q.view, wanted, now)
	server := choice.Server
	q.kind = choice.Kind
	if server == nil {
		q.lastOutcome, q.retryAfter = reason.String(), max(choice.RetryAfter, placement.RetryAfter(q.view, wanted, now))
		q.recordRefusal(reason, now)
		return nil, false
	}
	if q.sent > 0 {
		if !q.view.Services[q.service].Budget.Allow(now, *m.retry.Load(), q.view.Instances) {
			m.Stats.NoBudget.Add(1)
			q.lastOutcome = "retry budget is used"
			return nil, false
		}
		m.Stats.Retries.Add(1)
	}
	q.tried = append(q.tried, server.Name)
	return server, true
}

// affinityKey returns the key that assigns the request to a server; empty when the route has no affinity.
func (q *request) affinityKey() string {
	if !q.route.Affinity {
		return ""
	}
	return q.caller.Object
}

// canRetry reports whether the request may be sent to another server: it is idempotent or has not run, and its whole body is
// buffered.
func (q *request) canRetry() bool { return (q.route.Idempotent || !q.ran) && q.rest == nil }

// reply is a server's answer and the time that it took.
type reply struct {
	*backendconn.Answer
	took time.Duration // from the start of the exchange until the answer, or its first bytes up to MaxBuffered, was read
}

// authentic reports whether the answer is the server's own: signed, and without a Content-Encoding.
func (a reply) authentic() bool { return a.Signed && a.Header.Get("Content-Encoding") == "" }

// acceptable reports whether the answer is forwarded without trying another server.
func (a reply) acceptable() bool {
	return a.authentic() && a.Status < http.StatusInternalServerError && !claimsNotRun(a.Status)
}

// forwardable reports whether the answer may be forwarded when no other server answers.
func (a reply) forwardable() bool { return a.authentic() && !claimsNotRun(a.Status) }

// claimsNotRun reports whether callers take the status for a promise that the request has not run. Only an answer marked as
// not run proves that, so that a server's answer with such a status is never forwarded.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// exchange sends the request to a server and reports the outcome to the control goroutine.
func (q *request) exchange(ctx context.Context, server *catalog.Server) (reply, error) {
	m := q.m
	start := m.opts.Loop.Now()
	server.Gauge.Begin(start)
	defer server.Gauge.End(start)
	idle := safeIdle
	if q.route.Idempotent {
		idle = noIdleBound
	}
	h := q.serverHeader(server)
	a, err := m.opts.Pool.Do(ctx, m.opts.Dialect, &backendconn.Request{
		Server: server.Name, Address: server.Address, ID: q.caller.RequestID,
		Head: backendconn.Head(q.r.Method, q.r.RequestURI, q.r.Host, h), Body: q.body, Rest: q.rest,
		Chunked: h.Get("Transfer-Encoding") != "", NoBody: q.r.Method == http.MethodHead, MaxIdle: idle,
		Memory:    q.hold,
		Withdrawn: func() bool { return q.withdrawn(server) },
	})
	now := m.opts.Loop.Now()
	took := now.Sub(start)
	if err != nil {
		q.recordFailure(ctx, server, err, took)
		return reply{}, err
	}
	if !a.WrongServer {
		q.sent++
	}
	out := reply{a, took}
	q.unsent = a.Unsent
	if a.HasLoad {
		server.Gauge.Report(now, a.Running+a.Waiting)
		q.recordLoad(server, a.Marks, now)
	}
	if a.Connect > 0 {
		server.Distance.Record(a.Connect)
	}
	q.recordSignals(server, a.Marks, now)
	q.recordLimit(server, a.Marks, start, now)
	if out.acceptable() && !a.NotRun {
		q.recordWork(server, took, now)
	}
	outcome := catalog.Answered
	switch {
	case a.WrongServer:
		outcome = catalog.Replaced
	case a.NotRun:
		outcome = catalog.Refused
	case !out.acceptable():
		outcome = catalog.Failed
	}
	q.lastOutcome = outcome.String()
	m.opts.Loop.Observe(catalog.Observed{Server: server.Name, Outcome: outcome})
	m.latencies.observe("exchange.time_ms", q.service, "region", string(server.Region), took)
	if out.acceptable() && !a.NotRun {
		q.reportSuspectAnswered()
	}
	if outcome != catalog.Answered {
		q.log("exchange without success", "server", string(server.Name), "outcome", outcome.String(), "status", a.Status,
			"signed", a.Signed, "took_ms", took.Milliseconds(), "load", server.Gauge.Load(now))
	}
	return out, nil
}

// recordSignals records in the server's gauge, before the answer goes to the caller, that the server leaves or wants no requests
// for a time. Requests that are about to be sent to it are withdrawn.
func (q *request) recordSignals(server *catalog.Server, marks backendconn.Marks, now state.Instant) {
	m := q.m
	if marks.Leaving && server.Gauge.SetLeaving() {
		m.Stats.Leaving.Add(1)
		q.logServerChange("backend server says that it leaves", "server", string(server.Name), "born", server.Born)
	}
	if marks.BadPause {
		m.Stats.BadPauses.Add(1)
	}
	if marks.Pause > 0 && server.Gauge.Pause.Extend(now, marks.Pause) {
		m.Stats.Paused.Add(1)
		q.logServerChange("backend server asks for a pause", "server", string(server.Name), "pause_ms", marks.Pause.Milliseconds(),
			"load", server.Gauge.Load(now))
	}
}

// recordLimit records the limit that the server names in its answer to a request sent at the given time, or that it names none.
func (q *request) recordLimit(server *catalog.Server, marks backendconn.Marks, sent, now state.Instant) {
	m := q.m
	if marks.BadLimit {
		m.Stats.BadLimits.Add(1)
	}
	if marks.WrongServer || marks.BadLimit && marks.Limit == 0 {
		return // the answer does not tell whether there is a limit
	}
	if marks.Limit > 0 {
		m.Stats.ToLimited.Add(1)
	}
	change := server.Gauge.Limit.Record(now, sent, marks.Limit)
	if change == quota.LimitUnchanged {
		return
	}
	m.Stats.Limits.Add(1)
	switch change {
	case quota.LimitBegun:
		server.Gauge.LimitPacer.Record(now)
		q.log("backend server names a limit", "server", string(server.Name), "per_s", marks.Limit, "load", server.Gauge.Load(now))
	case quota.LimitEnded:
		q.log("backend server names no limit any more", "server", string(server.Name))
		m.opts.OnLimitEnd(catalog.LimitEnded{Server: server.Name, Born: server.Born})
	}
	m.opts.Loop.Observe(catalog.LimitNamed{})
}

// withdrawn reports whether the request must not be sent to the server any more: its caller has left, or the newest view does
// not allow it. It is called once the connection is open.
func (q *request) withdrawn(server *catalog.Server) bool {
	if q.callerLeft() {
		return true
	}
	if q.permitLate() {
		q.m.Stats.LatePermits.Add(1)
		return true
	}
	newest := q.m.opts.Loop.View()
	if q.withdrawForCustomer(newest, server) {
		return true
	}
	if placement.StillUsable(newest, q.service, server, q.m.opts.Loop.Now()) {
		return false
	}
	q.m.Stats.Withdrawn.Add(1)
	q.log("request withdrawn from a server that has left", "server", string(server.Name), "revision", q.view.Revision.String(),
		"newest", newest.Revision.String())
	return true
}

// recordFailure records an exchange without an answer and reports it to the control goroutine.
func (q *request) recordFailure(ctx context.Context, server *catalog.Server, err error, took time.Duration) {
	var f *backendconn.Failure
	if !errors.As(err, &f) {
		f = &backendconn.Failure{Sent: true, Err: err}
	}
	if errors.Is(err, backendconn.ErrWithdrawn) {
		q.lastOutcome = "server left"
		return
	}
	outcome := catalog.Broken
	if f.Dialed {
		outcome = catalog.Unreachable
	}
	if f.Sent {
		q.sent++
		q.ran = true
	}
	q.lastOutcome = outcome.String()
	if !q.callerLeft() { // a missing answer at the timeout counts as a failure of the server, too
		q.m.opts.Loop.Observe(catalog.Observed{Server: server.Name, Outcome: outcome})
		q.reportEnded(ctx, server, f)
		if !f.Dialed && ctx.Err() == nil {
			q.m.opts.Pool.Drop(server.Name, server.Address)
		}
	}
	q.log("exchange failed", "server", string(server.Name), "outcome", outcome.String(), "sent", f.Sent, "reused", f.Reused,
		"took_ms", took.Milliseconds(), "error", f.Error())
}

// callerLeft reports whether the caller has left. A request that is not idempotent goes on nevertheless once it has been sent.
func (q *request) callerLeft() bool { return q.r.Context().Err() != nil }

// finishIfDone ends a request whose timeout has passed (504) or whose caller has left (aborted). It returns false for any
// other.
func (q *request) finishIfDone(ctx context.Context) bool {
	unsentAndLeft := !q.ran && q.callerLeft()
	if ctx.Err() == nil && !unsentAndLeft {
		return false
	}
	if q.callerLeft() {
		q.m.Stats.Left.Add(1)
		q.log("caller left")
		panic(http.ErrAbortHandler) // a caller that closed only its sending side would take an empty answer for a success
	}
	q.m.Stats.TimedOut.Add(1)
	q.respond(http.StatusGatewayTimeout, "time is over", 0)
	return true
}

// answerFailure writes the final answer of a request without an acceptable answer. failure is a server's own 5xx answer, or
// nil.
func (q *request) answerFailure(failure *backendconn.Answer) {
	switch {
	case failure != nil:
		q.m.Stats.Passed.Add(1)
		q.writeAnswer(failure)
	case !q.ran && q.admission != admitted:
		q.reject()
	case !q.ran:
		q.returnPermit()
		q.refuse(q.lastOutcome, max(q.retryAfter, refusedRetryAfter))
	case q.timeLeft() <= 0:
		q.m.Stats.TimedOut.Add(1)
		q.respond(http.StatusGatewayTimeout, "time is over", 0)
	default:
		q.m.Stats.Failed.Add(1)
		q.respond(http.StatusBadGateway, q.lastOutcome, 0)
	}
}
