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
	Log       hclog.Logger
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
	CallerGone   atomic.Uint64
	Replayed     atomic.Uint64 // submissions answered from the record of an earlier attempt
	Fenced       atomic.Uint64 // requests cancelled because their grant could not be renewed
	InFlight     atomic.Int64
	BytesCarried atomic.Uint64
}

// Manager answers callers.
type Manager struct {
	opts    Options
	buffers sync.Pool
	Stats   Stats
}

// New returns a manager.
func New(opts Options) *Manager {
	if opts.MaxBody == 0 {
		opts.MaxBody = DefaultMaxBody
	}
	if opts.MaxHeader == 0 {
		opts.MaxHeader = DefaultMaxHeader
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

// ServeHTTP answers one request.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) > len(callers.PathPrefix) && r.URL.Path[:len(callers.PathPrefix)] == callers.PathPrefix {
		m.serveOwn(w, r)
		return
	}
	m.Stats.Requests.Add(1)
	m.Stats.InFlight.Add(1)
	defer m.Stats.InFlight.Add(-1)
	s := m.opts.Control.Snapshot()
	rq, problem := parse(s, r, m.opts.MaxBody)
	if problem != nil {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, *problem, 0)
		return
	}
	if rq.once() {
		m.submit(w, rq)
		return
	}
	m.carry(w, rq)
}
