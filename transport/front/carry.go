package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/placement"
	"azurebridge/transport/backendconn"
)

// Times and bounds of the way to backend servers.
const (
	// overdue is how long after its limit a request waits for the server's own answer, which tells whether it has run.
	overdue = 100 * time.Millisecond
	// maxTries bounds the servers that are looked at for one request, those included to which no connection opened.
	maxTries = 6
	// safeIdle is how long a connection may have been idle for a request that must not be repeated: the longer, the more
	// likely it is dead, which leaves open whether the request has run.
	safeIdle = 2 * time.Second
	// anyIdle sets no bound besides the server's own.
	anyIdle = time.Hour
	// leastLeft is the time below which sending a request again is useless.
	leastLeft = 20 * time.Millisecond
)

// carry sends the request to backend servers until one answers or no further try is allowed.
func (q *request) carry() {
	ctx, cancel := q.context()
	defer cancel()
	service := q.view.Services[q.service]
	if service != nil {
		service.Budget.Request(q.arrived, *q.m.retry.Load())
	}
	var failure *backendconn.Answer // a server's own failure, passed on when no other server answers
	for range maxTries {
		server, ok := q.next()
		if !ok {
			break
		}
		answer, err := q.exchange(ctx, server)
		if err != nil {
			if q.ended(ctx) {
				return
			}
			if !q.mayRepeat() {
				break
			}
			continue
		}
		if answer.NotRun {
			if q.rest != nil {
				break // the body has been passed on and is not held
			}
			continue
		}
		q.ran = true
		if answer.good() {
			q.pass(answer, server)
			return
		}
		if answer.whole() {
			failure = answer.Answer
		}
		if !q.mayRepeat() {
			break
		}
	}
	q.conclude(failure)
}

// next chooses the server for the next try. It returns false when no further try is possible or allowed.
func (q *request) next() (*catalog.Server, bool) {
	m := q.m
	now := m.opts.Loop.Now()
	if q.sent > 0 {
		if q.sent >= q.route.MaxAttempts || q.left() < leastLeft {
			return nil, false
		}
	}
	q.view = m.opts.Loop.View()
	server, reason := placement.Choose(q.view, &placement.Request{
		Service: q.service, Object: q.object(), Route: q.route, Region: m.opts.Region,
		Bulk: m.sizes.bulk(q.route), Tried: q.tried, Draw: rand.Float64, Left: q.left(),
	}, now)
	if server == nil {
		q.last = reason.String()
		return nil, false
	}
	if q.sent > 0 {
		if !q.view.Services[q.service].Budget.Take(now, *m.retry.Load(), q.view.Instances) {
			m.Stats.NoBudget.Add(1)
			q.last = "retry budget is used"
			return nil, false
		}
		m.Stats.Retries.Add(1)
	}
	q.tried = append(q.tried, server.Name)
	return server, true
}

// object returns the key by which requests keep to servers.
func (q *request) object() string {
	if !q.route.Affinity {
		return ""
	}
	return q.caller.Object
}

// mayRepeat reports whether the request may go to another server although it has run or may have run.
func (q *request) mayRepeat() bool { return (q.route.Idempotent || !q.ran) && q.rest == nil }

// reply is an answer with what it means.
type reply struct {
	*backendconn.Answer
	took time.Duration // from sending to the whole answer
}

// whole reports whether the answer is the server's own.
func (a reply) whole() bool { return a.Signed && a.Header.Get("Content-Encoding") == "" }

// good reports whether the answer is to be passed on without trying another server.
func (a reply) good() bool { return a.whole() && a.Status < http.StatusInternalServerError }

// exchange sends the request to a server and reports the outcome to the control goroutine.
func (q *request) exchange(ctx context.Context, server *catalog.Server) (reply, error) {
	m := q.m
	start := m.opts.Loop.Now()
	server.Gauge.Begin(start)
	defer server.Gauge.End(start)
	idle := safeIdle
	if q.route.Idempotent {
		idle = anyIdle
	}
	h := q.forwarded(server)
	a, err := m.opts.Pool.Do(ctx, m.opts.Dialect, &backendconn.Request{
		Server: server.Name, Address: server.Address, ID: q.caller.RequestID,
		Head: backendconn.Head(q.r.Method, q.r.RequestURI, q.r.Host, h), Body: q.body, Rest: q.rest,
		Chunked: h.Get("Transfer-Encoding") != "", NoBody: q.r.Method == http.MethodHead, MaxIdle: idle,
		Withdrawn: func() bool { return q.withdrawn(server) },
	})
	now := m.opts.Loop.Now()
	took := now.Sub(start)
	if err != nil {
		q.failed(ctx, server, err, took)
		return reply{}, err
	}
	if !a.WrongServer {
		q.sent++
	}
	out := reply{a, took}
	if a.HasLoad {
		server.Gauge.Report(now, a.Running+a.Waiting)
	}
	if out.good() && !a.NotRun {
		q.view.Services[q.service].Time.Learn(took, server.Gauge.Load(now), server.Slots)
	}
	outcome := catalog.Answered
	switch {
	case a.WrongServer:
		outcome = catalog.Gone
	case a.NotRun:
		outcome = catalog.Refused
	case !out.good():
		outcome = catalog.Failed
	}
	q.last = outcome.String()
	m.opts.Loop.Observe(catalog.Observed{Server: server.Name, Outcome: outcome})
	m.latencies.observe("exchange.time_ms", q.service, "region", string(server.Region), took)
	if outcome != catalog.Answered {
		q.log("exchange without success", "server", string(server.Name), "outcome", outcome.String(), "status", a.Status,
			"signed", a.Signed, "took_ms", took.Milliseconds(), "load", server.Gauge.Load(now))
	}
	return out, nil
}

// withdrawn reports whether the server must not get the request any more, now that the connection is open.
func (q *request) withdrawn(server *catalog.Server) bool {
	newest := q.m.opts.Loop.View()
	if newest == q.view || placement.Holds(newest, q.service, server, q.m.opts.Loop.Now()) {
		return false
	}
	q.m.Stats.Withdrawn.Add(1)
	q.log("request withdrawn from a server that has left", "server", string(server.Name), "revision", uint64(q.view.Revision),
		"newest", uint64(newest.Revision))
	return true
}

// failed handles an exchange without an answer.
func (q *request) failed(ctx context.Context, server *catalog.Server, err error, took time.Duration) {
	var f *backendconn.Failure
	if !errors.As(err, &f) {
		f = &backendconn.Failure{Sent: true, Err: err}
	}
	if errors.Is(err, backendconn.ErrWithdrawn) {
		q.last = "server left"
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
	q.last = outcome.String()
	if q.r.Context().Err() == nil { // an answer that is not there in time is the server's failure, too
		q.m.opts.Loop.Observe(catalog.Observed{Server: server.Name, Outcome: outcome})
		if !f.Dialed && ctx.Err() == nil {
			q.m.opts.Pool.Drop(server.Name, server.Address)
		}
	}
	q.log("exchange failed", "server", string(server.Name), "outcome", outcome.String(), "sent", f.Sent, "reused", f.Reused,
		"took_ms", took.Milliseconds(), "error", f.Error())
}

// ended answers a request whose time is over or whose caller has left, and returns false for any other.
func (q *request) ended(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	if q.r.Context().Err() != nil {
		q.m.Stats.Left.Add(1)
		q.log("caller left")
		panic(http.ErrAbortHandler) // an empty answer would look like a success to a caller that only stopped sending
	}
	q.m.Stats.TimedOut.Add(1)
	q.answerOwn(http.StatusGatewayTimeout, "time is over", 0)
	return true
}

// conclude gives the final answer of a request that no server has answered well.
func (q *request) conclude(failure *backendconn.Answer) {
	switch {
	case failure != nil:
		q.m.Stats.Passed.Add(1)
		q.write(failure)
	case !q.ran:
		q.refuse(q.last, retryLater)
	case q.left() <= 0:
		q.m.Stats.TimedOut.Add(1)
		q.answerOwn(http.StatusGatewayTimeout, "time is over", 0)
	default:
		q.m.Stats.Failed.Add(1)
		q.answerOwn(http.StatusBadGateway, q.last, 0)
	}
}
