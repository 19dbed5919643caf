// Package edge is the callers' HTTP server: it answers look-ups and carries requests to backend servers.
package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/state/blocks"
	"azurebridge/transport/backend"
	"azurebridge/transport/observe"
)

// Bounds of the callers' interface.
const (
	DefaultMaxHeader  = 16 << 10 // bytes of a request header
	DefaultMaxBody    = 64 << 20 // bytes of a request body
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second // unused caller connections
	MaxAttempts       = 3                // backend servers tried for one request
	copyBuffer        = 32 << 10         // bytes
)

// Control is what the edge needs of the control goroutine.
type Control interface {
	Snapshot() *state.Snapshot
	Offer(ev control.Event) error
	Release(region state.RegionName, r message.Release)
	Report(m *message.OutcomeReport)
}

// Options sets up a Manager.
type Options struct {
	Control   Control
	Backends  *backend.Client
	MaxBody   int64                  // bytes of a request body
	MaxHeader int                    // bytes of a request header
	Blocks    func() *blocks.Regions // client blocks in use, which may be nil; nil for none
	// LookupWait is how long a stopping instance accepts new requests; 0 means DefaultLookupWait.
	LookupWait time.Duration
	Log        hclog.Logger
	Observe    *observe.Recorder // nil for a recorder that nobody reads
}

// Stats counts requests of callers.
type Stats struct {
	Requests     atomic.Uint64
	Lookups      atomic.Uint64
	Refused      atomic.Uint64 // answered "not run"
	Malformed    atomic.Uint64 // answered 4xx
	Unknown      atomic.Uint64 // answered "unknown"
	Retries      atomic.Uint64
	CutAnswers   atomic.Uint64 // answers aborted because the body ended early
	BadAnswers   atomic.Uint64 // refused because their bytes or their end could be mistaken
	Resumed      atomic.Uint64 // bodies continued at another backend server after an early end
	Moved        atomic.Uint64 // bodies moved off a drained backend server
	MoveFailed   atomic.Uint64 // attempts to move that left the body where it was
	CallerGone   atomic.Uint64
	Replayed     atomic.Uint64 // submissions answered from the record of an earlier attempt
	Fenced       atomic.Uint64 // requests cancelled because their grant could not be renewed
	InFlight     atomic.Int64
	BytesCarried atomic.Uint64
}

// Manager answers callers.
type Manager struct {
	opts     Options
	buffers  sync.Pool
	stopping atomic.Bool
	Stats    Stats
}

// New returns a manager.
func New(opts Options) *Manager {
	if opts.MaxBody == 0 {
		opts.MaxBody = DefaultMaxBody
	}
	if opts.MaxHeader == 0 {
		opts.MaxHeader = DefaultMaxHeader
	}
	if opts.Observe == nil {
		opts.Observe = observe.New(state.MonotonicClock(), opts.Control.Snapshot)
	}
	if opts.LookupWait == 0 {
		opts.LookupWait = DefaultLookupWait
	}
	if opts.Blocks == nil {
		opts.Blocks = func() *blocks.Regions { return nil }
	}
	m := &Manager{opts: opts}
	m.buffers.New = func() any { b := make([]byte, copyBuffer); return &b }
	return m
}

// Server returns the HTTP server of the callers' interface for HTTP/1.1 and, without TLS too, HTTP/2.
func (m *Manager) Server() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: m, ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: m.opts.MaxHeader, Protocols: &protocols,
		ErrorLog: m.opts.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// closing asks a caller to open no request on its connection again; for HTTP/2 net/http turns it into GOAWAY.
var closing = []string{"close"}

// ServeHTTP answers one request.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.stopping.Load() {
		w.Header()["Connection"] = closing
	}
	if len(r.URL.Path) > len(callers.PathPrefix) && r.URL.Path[:len(callers.PathPrefix)] == callers.PathPrefix {
		m.serveOwn(w, r)
		return
	}
	m.Stats.Requests.Add(1)
	m.Stats.InFlight.Add(1)
	defer m.Stats.InFlight.Add(-1)
	q := m.opts.Observe.Begin(w)
	defer q.End()
	s := m.opts.Control.Snapshot()
	rq, problem := parse(s, r, m.opts.MaxBody)
	if problem != nil {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, *problem, 0)
		return
	}
	q.Identify(s, rq.customer, rq.service.Name)
	rq.seen = q
	if rq.once() {
		m.submit(q, rq)
	} else {
		m.carry(q, rq)
	}
	q.Done()
}
