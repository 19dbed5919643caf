// Package edge is the callers' HTTP server: it answers look-ups, which name the entry instances that a caller should use, and
// forwards requests to backend servers. A request is sent under a grant, the right to run one request on one backend server.
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
	"azurebridge/transport/membudget"
	"azurebridge/transport/observe"
)

// Bounds of the callers' interface.
const (
	DefaultMaxHeader  = 16 << 10 // bytes of a request header
	DefaultMaxBody    = 64 << 20 // bytes of a request body
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second // unused caller connections
	MaxAttempts       = 3                // backend servers tried for one request
	copyBufferSize    = 32 << 10         // bytes
)

// Control is the part of the control goroutine's interface that this package uses.
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
	Blocks    func() *blocks.Regions // returns the client blocks in use, nil for none; may itself be nil
	// BodyMemory bounds the memory for bodies of submissions in progress, in bytes; 0 means DefaultBodyMemory.
	BodyMemory int64
	// LookupWait is how long a stopping instance accepts new requests; 0 means DefaultLookupWait.
	LookupWait time.Duration
	Log        hclog.Logger
	Observe    *observe.Recorder // nil means a recorder whose data is not read
}

// Stats counts requests of callers.
type Stats struct {
	Requests     atomic.Uint64
	Lookups      atomic.Uint64
	Refused      atomic.Uint64 // answered "not run", or failed and safe to repeat
	NoMemory     atomic.Uint64 // submissions refused because Options.BodyMemory was used up
	SlowBodies   atomic.Uint64 // submissions whose body did not arrive in time
	Malformed    atomic.Uint64 // invalid requests, answered 4xx
	Unknown      atomic.Uint64 // submissions answered "unknown"
	Retries      atomic.Uint64
	CutAnswers   atomic.Uint64 // answers aborted because the body ended early
	BadAnswers   atomic.Uint64 // answers rejected because of their byte range or because the end of their body cannot be detected
	Resumed      atomic.Uint64 // bodies continued at another backend server after an early end
	Moved        atomic.Uint64 // bodies moved off a drained backend server
	MoveFailed   atomic.Uint64 // failed attempts to move; the body stays at its server
	CallerGone   atomic.Uint64
	Replayed     atomic.Uint64 // submissions answered from the record of an earlier attempt
	Fenced       atomic.Uint64 // requests cancelled because their grant could not be renewed
	InFlight     atomic.Int64
	BytesCarried atomic.Uint64
}

// Manager is the HTTP handler of the callers' interface.
type Manager struct {
	opts     Options
	buffers  sync.Pool
	stopping atomic.Bool
	clock    func() state.Instant
	memory   *membudget.Budget
	Stats    Stats
}

// New returns a manager. Zero options get their defaults.
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
	if opts.BodyMemory == 0 {
		opts.BodyMemory = DefaultBodyMemory
	}
	m := &Manager{opts: opts, clock: state.MonotonicClock()}
	m.memory = membudget.New(opts.BodyMemory, m.clock)
	m.buffers.New = func() any { b := make([]byte, copyBufferSize); return &b }
	return m
}

// Server returns the HTTP server of the callers' interface for HTTP/1.1 and HTTP/2, both with and without TLS.
func (m *Manager) Server() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: m, ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: m.opts.MaxHeader, Protocols: &protocols, ConnContext: withConn,
		ErrorLog: m.opts.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// EvictBody ends the reading of the body that has made no progress for longest, so that its connection ends. It returns false when
// there is none without progress.
func (m *Manager) EvictBody() bool { return m.memory.EvictLongest() }

// Memory returns the counters of the memory for bodies.
func (m *Manager) Memory() *membudget.Stats { return &m.memory.Stats }

// connectionClose asks a caller to send no further request on its connection; for HTTP/2 net/http turns it into GOAWAY.
var connectionClose = []string{"close"}

// ServeHTTP answers one request.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.stopping.Load() {
		w.Header()["Connection"] = connectionClose
	}
	body := newCallerBody(w, r, m.clock)
	defer body.finish()
	if len(r.URL.Path) > len(callers.PathPrefix) && r.URL.Path[:len(callers.PathPrefix)] == callers.PathPrefix {
		m.serveSystemPath(w, r)
		return
	}
	m.Stats.Requests.Add(1)
	m.Stats.InFlight.Add(1)
	defer m.Stats.InFlight.Add(-1)
	observed := m.opts.Observe.Begin(w)
	defer observed.End()
	s := m.opts.Control.Snapshot()
	rq, problem := parse(s, r, m.opts.MaxBody)
	if problem != nil {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, *problem, 0)
		return
	}
	observed.Identify(s, rq.customer, rq.service.Name)
	rq.observed, rq.body = observed, body
	if rq.atMostOnce() {
		m.submit(observed, rq)
	} else {
		m.forward(observed, rq)
	}
	observed.Complete()
}
