package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/internal/wait"
	"azurebridge/protocol/callers"
	"azurebridge/protocol/settings"
	"azurebridge/state"
)

// environment is what all backend servers of a stand-in share.
type environment struct {
	settings  settings.StandinBackends
	faults    *Faults
	instances *Instances
	ledger    *Ledger
	digests   digests
	now       func() time.Time
}

// BackendStatus is the state of one backend server.
type BackendStatus struct {
	Server      string  `json:"server"`
	Running     int64   `json:"running"`
	Connections int     `json:"connections"`
	Refused     uint64  `json:"refused_connections"`
	Served      uint64  `json:"served"`
	Shed        uint64  `json:"shed"`
	Cancelled   uint64  `json:"cancelled"`
	Expired     uint64  `json:"expired"` // deadlines passed
	WarmFactor  float64 `json:"warm_factor"`
	ColdMeanMs  float64 `json:"cold_mean_ms"`  // measured mean service time of the first requests after a cold start
	WarmMeanMs  float64 `json:"warm_mean_ms"`  // measured mean service time of the last requests
	LastStartMs int64   `json:"last_start_ms"` // Unix time at which the last request arrived that was not a probe; 0 for none
}

// Backend is the stand-in of one backend server.
type Backend struct {
	server  *state.BackendServer
	kind    state.ServiceKind
	service settings.StandinService
	env     *environment
	target  Target
	slots   chan struct{}
	running atomic.Int64
	warm    *warmth
	load    lagged

	served, shed, cancelled, expired atomic.Uint64
	lastStart                        atomic.Int64 // Unix time in ms
}

// newBackend returns the stand-in of a backend server.
func newBackend(server *state.BackendServer, kind state.ServiceKind, service settings.StandinService, env *environment) *Backend {
	return &Backend{
		server: server, kind: kind, service: service, env: env, slots: make(chan struct{}, server.Slots),
		target: Target{Server: string(server.Name), Service: string(server.Service), Domain: string(server.Domain), Region: string(server.Region)},
		warm:   newWarmth(server.Name, service),
	}
}

func (b *Backend) status() BackendStatus {
	factor, cold, warm := b.warm.measured()
	return BackendStatus{
		Server: string(b.server.Name), Running: b.running.Load(), Served: b.served.Load(), Shed: b.shed.Load(),
		Cancelled: b.cancelled.Load(), Expired: b.expired.Load(), WarmFactor: factor, ColdMeanMs: cold, WarmMeanMs: warm,
		LastStartMs: b.lastStart.Load(),
	}
}

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		b.probe(w, r)
		return
	}
	b.lastStart.Store(b.env.now().UnixMilli())
	from, known := b.env.instances.Place(r.RemoteAddr)
	if !b.travel(r, from, known) {
		return
	}
	if d, err := callers.ParseDeadline(r.Header); err == nil && d > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), d)
		defer cancel()
		r = r.WithContext(ctx)
	}
	s, ok := b.enter(r, from.region)
	if !ok {
		b.shed.Add(1)
		refuse(w, "no free slot")
		return
	}
	defer s.leave()
	if b.kind == state.KindSubmission && r.Method == http.MethodPost {
		b.serveSubmission(w, r, s)
		return
	}
	if b.pause(w, r) {
		b.serveContent(w, r, s)
	}
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, why string) {
	w.Header().Set(callers.HeaderNotRun, "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// travel waits for the way of a request from another failure domain or region. It returns false when it was cancelled.
func (b *Backend) travel(r *http.Request, from place, known bool) bool {
	var d time.Duration
	switch {
	case !known:
		return true
	case from.region != string(b.server.Region):
		d = b.env.settings.RegionRTT / 2
	case from.domain != string(b.server.Domain):
		d = b.env.settings.DomainRTT / 2
	}
	return wait.For(r.Context(), d)
}

// slot is a request's use of a slot.
type slot struct {
	backend *Backend
	peer    string // region of the entry instance
	once    sync.Once
}

// enter takes a slot. It waits at most the slot grace, in which a request that has just ended leaves its slot.
func (b *Backend) enter(r *http.Request, peer string) (*slot, bool) {
	if _, ok := b.env.faults.Hit(Drain, b.target); ok {
		return nil, false
	}
	if _, ok := b.env.faults.Hit(Shed, b.target); ok {
		return nil, false
	}
	b.env.ledger.Running(b.target.Server, peer, b.target.Region, 1)
	select {
	case b.slots <- struct{}{}:
	default:
		t := time.NewTimer(b.env.settings.SlotGrace)
		defer t.Stop()
		select {
		case b.slots <- struct{}{}:
		case <-t.C:
			b.env.ledger.Running(b.target.Server, peer, b.target.Region, -1)
			return nil, false
		case <-r.Context().Done():
			b.env.ledger.Running(b.target.Server, peer, b.target.Region, -1)
			return nil, false
		}
	}
	b.running.Add(1)
	return &slot{backend: b, peer: peer}, true
}

// leave frees the slot. It is called before the last bytes of an answer, because the entry instance may use the slot
// again as soon as it has them.
func (s *slot) leave() {
	s.once.Do(func() {
		b := s.backend
		b.running.Add(-1)
		<-b.slots
		b.env.ledger.Running(b.target.Server, s.peer, b.target.Region, -1)
		b.served.Add(1)
	})
}

// pause holds the slot for the service time. It returns false when the request was cancelled or its deadline passed.
func (b *Backend) pause(w http.ResponseWriter, r *http.Request) bool {
	work := b.warm.take()
	if f, ok := b.env.faults.Hit(Slow, b.target); ok {
		work = time.Duration(float64(work) * f.Factor)
	}
	if wait.For(r.Context(), work) {
		return true
	}
	if r.Context().Err() == context.DeadlineExceeded {
		b.expired.Add(1)
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return false
	}
	b.cancelled.Add(1)
	return false
}

func (b *Backend) serveSubmission(w http.ResponseWriter, r *http.Request, s *slot) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.env.ledger.Carried(s.peer, b.target.Region, int64(len(data)))
	var sub Submission
	if err := json.Unmarshal(data, &sub); err != nil || sub.ID == "" {
		http.Error(w, "submission has no id", http.StatusBadRequest)
		return
	}
	if _, lose := b.env.faults.Hit(LoseAccepted, b.target); !lose {
		b.env.ledger.Ran(sub.ID, b.target.Server)
	}
	if _, twice := b.env.faults.Hit(RunTwice, b.target); twice {
		b.env.ledger.Ran(sub.ID, b.target.Server)
	}
	if !b.pause(w, r) {
		return
	}
	s.leave()
	if _, lie := b.env.faults.Hit(FalseNotRun, b.target); lie {
		refuse(w, "claimed not to have run")
		return
	}
	reply(w, Receipt{ID: sub.ID, Server: b.target.Server})
}

// probe answers the health and load endpoints.
func (b *Backend) probe(w http.ResponseWriter, r *http.Request) {
	if _, ok := b.env.faults.Hit(LoadSilent, b.target); ok {
		<-r.Context().Done()
		return
	}
	if !wait.For(r.Context(), b.env.settings.ProbeCost) {
		return
	}
	running := b.running.Load()
	if f, ok := b.env.faults.Hit(LoadLag, b.target); ok {
		running = b.load.at(b.env.now(), time.Duration(f.DelayMs)*time.Millisecond, running)
	}
	_, lie := b.env.faults.Hit(LoadLie, b.target)
	if lie {
		running = 0
	}
	if r.URL.Path == "/load" {
		reply(w, map[string]int64{"running": running, "slots": int64(b.server.Slots)})
		return
	}
	if _, drains := b.env.faults.Hit(Drain, b.target); drains && !lie {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // the client may be gone
}

// sizeOf returns the size of the body: the query's `size`, or the default of the service.
func (b *Backend) sizeOf(r *http.Request) int64 {
	const maxSize = 1 << 34 // bytes
	if n, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && n >= 0 && n <= maxSize {
		return n
	}
	return b.service.Size
}
