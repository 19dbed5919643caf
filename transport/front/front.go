// Package front carries callers' requests to backend servers by the routing table in force: it matches the route, lets
// placement choose the server, sends the request again where that is allowed, and passes the answer on whole.
package front

import (
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
	"azurebridge/transport/backendconn"
)

// Caller is what the headers of a caller's request say.
type Caller struct {
	RequestID string
	Object    string        // key of the object that the request concerns; empty for none
	Patience  time.Duration // how long the caller waits; 0 when it does not say
}

// Dialect translates the platform's headers.
type Dialect interface {
	backendconn.Dialect
	// Identify reads a caller's request.
	Identify(h http.Header) Caller
	// Address marks a request for one backend server and tells it how long the answer is wanted.
	Address(h http.Header, server state.BackendName, left time.Duration)
}

// Options are the inputs of a Manager.
type Options struct {
	Loop    *catalog.Loop
	Pool    *backendconn.Pool
	Dialect Dialect
	Region  state.RegionName
	Retry   quota.RetryLimit
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Manager serves callers. It is safe for concurrent use.
type Manager struct {
	opts      Options
	retry     atomic.Pointer[quota.RetryLimit]
	sizes     *answerSizes
	log       *decisionLog
	latencies *latencies
	Stats     Stats
}

// Stats counts requests by their end, and what was done for them.
type Stats struct {
	Requests  atomic.Uint64
	Served    atomic.Uint64
	Passed    atomic.Uint64 // failures of a backend server that were passed on
	Refused   atomic.Uint64 // told "not run"
	Failed    atomic.Uint64 // may have run, and no answer of a backend server
	TimedOut  atomic.Uint64
	NoRoute   atomic.Uint64
	Left      atomic.Uint64 // callers that left
	Cut       atomic.Uint64 // answers cut because the server broke off
	Retries   atomic.Uint64
	NoBudget  atomic.Uint64 // retries not sent because the budget was used
	Withdrawn atomic.Uint64 // exchanges given up before the request was sent, because the server had left meanwhile
	InService atomic.Int64
}

// New returns a manager.
func New(opts Options) *Manager {
	m := &Manager{opts: opts, sizes: newAnswerSizes(), log: newDecisionLog(opts.Log), latencies: newLatencies(opts.Metrics)}
	m.ApplyRetryLimit(opts.Retry)
	return m
}

// ApplyRetryLimit changes the limit on retries.
func (m *Manager) ApplyRetryLimit(limit quota.RetryLimit) { m.retry.Store(&limit) }

// ServeHTTP carries one request.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.Stats.Requests.Add(1)
	m.Stats.InService.Add(1)
	defer m.Stats.InService.Add(-1)
	v := m.opts.Loop.View()
	if v.Stopping {
		w.Header().Set("Connection", "close")
	}
	q := &request{
		m: m, w: w, r: r, view: v, arrived: m.opts.Loop.Now(),
		caller: m.opts.Dialect.Identify(r.Header),
	}
	if !q.match() || !q.readBody(v.Table.Limits) {
		return
	}
	q.view = m.opts.Loop.View() // the body may have taken long to arrive
	if q.view.Table != v.Table && !q.match() {
		return
	}
	q.service = q.route.Part(rand.Float64())
	q.carry()
}

// match finds the route in the view's table. It answers and returns false when there is none.
func (q *request) match() bool {
	if q.view.Table == nil {
		q.refuse("no routing table", noTableRetry)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.view.Table.Match(hostName(q.r.Host), path)
	if q.route == nil {
		q.m.Stats.NoRoute.Add(1)
		q.answerOwn(http.StatusNotFound, "no route", 0)
		return false
	}
	q.limit = q.route.Timeout
	if q.caller.Patience > 0 {
		q.limit = min(q.limit, q.caller.Patience)
	}
	return true
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
