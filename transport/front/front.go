// Package front forwards callers' requests to backend servers according to the routing table in force: it matches the
// route, lets placement choose the server, retries where that is allowed, and forwards the whole answer.
package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/backendconn"
)

// Caller holds what the headers of a caller's request state.
type Caller struct {
	RequestID string
	Object    string            // key of the object that the request concerns; empty for none
	Timeout   time.Duration     // the caller's timeout; 0 when the request states none
	Key       routing.KeyDigest // of the customer's key; valid if HasKey
	HasKey    bool
}

// Dialect translates the platform's headers.
type Dialect interface {
	backendconn.Dialect
	// Identify reads the headers of a caller's request.
	Identify(h http.Header) Caller
	// SetServer sets the headers that name the backend server and state the time left for its answer.
	SetServer(h http.Header, server state.BackendName, timeLeft time.Duration)
	// SetCustomer removes the customer's key from the headers to a backend server, and sets the one that names the customer,
	// whatever the caller has sent; an empty name removes it.
	SetCustomer(h http.Header, name state.CustomerName)
	// Challenge sets the header of an answer with status 401.
	Challenge(h http.Header)
}

// Options are the inputs of a Manager.
type Options struct {
	Loop    *catalog.Loop
	Pool    *backendconn.Pool
	Dialect Dialect
	Region  state.RegionName // of this instance
	Retry   quota.RetryLimit
	// MaxKeyAge is the age of the instance's knowledge of the store above which requests with a key are refused; 0 for none.
	MaxKeyAge time.Duration
	// OverloadControl is whether objects are spread over more servers under load, and requests are admitted by value.
	OverloadControl bool
	Log             hclog.Logger
	Metrics         metrics.Registry
	// OnLimitEnd is called when a backend server names no limit any more. It must not block.
	OnLimitEnd func(catalog.LimitEnded)
	// Admit decides whether a request of a customer is within its quota, and waits at most the given time. Nil admits all.
	Admit func(ctx context.Context, customer *routing.Customer, wait time.Duration) quota.Decision
	// ReturnPermit gives back the permit of a request that no backend server has run. until is from the Decision.
	ReturnPermit func(customer *routing.Customer, until state.Instant)
	// TableWait is how long requests wait for the first routing table. An instance has it some 100 ms after its start; a caller
	// that is refused meanwhile returns much later.
	TableWait time.Duration
}

// Manager is the HTTP handler for callers' requests. It is safe for concurrent use.
type Manager struct {
	opts      Options
	retry     atomic.Pointer[quota.RetryLimit]
	maxKeyAge atomic.Int64 // time.Duration; 0 for none
	overload  atomic.Bool  // overload control is on
	sizes     *answerSizes
	log       *decisionLog
	latencies *latencies
	// tableWaiters is the number of requests that wait for the first routing table.
	tableWaiters atomic.Int64
	Stats        Stats

	checks processChecks
}

// Stats counts requests by their final answer, and also retries and aborted exchanges.
type Stats struct {
	Requests  atomic.Uint64
	Served    atomic.Uint64
	Passed    atomic.Uint64 // answers of backend servers with a 5xx status that were forwarded to the caller
	Refused   atomic.Uint64 // answered 503: the request has not run
	OverQuota atomic.Uint64 // answered 429: the request has not run, its customer exceeds its quota
	NoPermit  atomic.Uint64 // further tries not made because the customer exceeds its quota
	// LatePermits counts exchanges abandoned before the request was sent, because its permit was too old.
	LatePermits atomic.Uint64
	Failed      atomic.Uint64 // answered 502: the request may have run, and no backend server gave an answer to forward
	TimedOut    atomic.Uint64 // answered 504
	NoRoute     atomic.Uint64 // answered 404
	NoKey       atomic.Uint64 // answered 401: the request has no known key, and its route requires one
	Anonymous   atomic.Uint64 // requests without a known key on routes that allow it, where the table has customers
	Unproved    atomic.Uint64 // requests with a key that were refused because this instance's knowledge of the keys may be too old
	Left        atomic.Uint64 // requests whose caller disconnected early
	Cut         atomic.Uint64 // answers aborted while their rest was streamed to the caller
	Retries     atomic.Uint64
	NoBudget    atomic.Uint64 // retries not sent because the retry budget was used up
	Withdrawn   atomic.Uint64 // exchanges aborted before the request was sent, because the server had left meanwhile
	Leaving     atomic.Uint64 // backend servers that have said in an answer that they leave
	Paused      atomic.Uint64 // pauses that backend servers have asked for
	BadPauses   atomic.Uint64 // answers with a Retry-After that is no number of seconds
	Limits      atomic.Uint64 // limits that backend servers have begun to name, changed or ended
	BadLimits   atomic.Uint64 // answers with a limit that is no number, or one beyond its bounds
	ToLimited   atomic.Uint64 // requests that were answered by a backend server with a limit
	// NoMemory counts requests answered 503 because the memory for callers and servers was used up.
	NoMemory   atomic.Uint64
	SlowBodies atomic.Uint64 // answered 408: the body did not arrive within the timeout, or nothing of it for too long
	InService  atomic.Int64  // requests in progress

	// Tries that were refused before they were sent, by reason; see package overload.
	RefusedOverloaded atomic.Uint64
	RefusedHopeless   atomic.Uint64
	RefusedLate       atomic.Uint64
	RefusedLessUrgent atomic.Uint64
	RefusedDisplacing atomic.Uint64
	Quarantined       atomic.Uint64 // tries not made because servers have ended under the request
	Probes            atomic.Uint64 // quarantined requests that were sent to find out whether they still end servers
}

// New returns a Manager.
func New(opts Options) *Manager {
	m := &Manager{opts: opts, sizes: newAnswerSizes(), log: newDecisionLog(opts.Log), latencies: newLatencies(opts.Metrics)}
	m.ApplyRetryLimit(opts.Retry)
	m.ApplyMaxKeyAge(opts.MaxKeyAge)
	m.ApplyOverloadControl(opts.OverloadControl)
	return m
}

// ApplyRetryLimit changes the limit on retries.
func (m *Manager) ApplyRetryLimit(limit quota.RetryLimit) { m.retry.Store(&limit) }

// ApplyMaxKeyAge changes Options.MaxKeyAge.
func (m *Manager) ApplyMaxKeyAge(age time.Duration) { m.maxKeyAge.Store(int64(age)) }

// ApplyOverloadControl turns overload control on or off.
func (m *Manager) ApplyOverloadControl(enabled bool) { m.overload.Store(enabled) }

// ServeHTTP forwards one request and writes its answer.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.Stats.Requests.Add(1)
	m.Stats.InService.Add(1)
	defer m.Stats.InService.Add(-1)
	q := &request{
		m: m, w: w, r: r, view: m.opts.Loop.View(), arrived: m.opts.Loop.Now(),
		caller: m.opts.Dialect.Identify(r.Header),
	}
	defer q.freeMemory()
	q.awaitTable()
	table := q.view.Table
	if !q.match() || !q.identify() || !q.readBody(table.Limits) || !q.awaitTurn() {
		return
	}
	q.view = m.opts.Loop.View() // the body or the turn may have taken long to arrive
	if q.view.Table != table && !(q.match() && q.identify()) {
		return
	}
	q.service = q.route.Part(rand.Float64())
	if !q.admitQuota() {
		return
	}
	q.forward()
}

// match finds the request's route in the view's routing table and sets the timeout. Without a table or a route it answers the
// request and returns false.
func (q *request) match() bool {
	if q.view.Table == nil {
		q.refuse("no routing table", noTableRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.view.Table.Match(hostName(q.r.Host), path)
	if q.route == nil {
		q.m.Stats.NoRoute.Add(1)
		q.respond(http.StatusNotFound, "no route", 0)
		return false
	}
	q.timeout = q.route.Timeout
	if q.caller.Timeout > 0 {
		q.timeout = min(q.timeout, q.caller.Timeout)
	}
	return true
}

// hostName returns the host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
