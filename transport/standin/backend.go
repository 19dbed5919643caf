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

// environment holds the settings and state that all backend servers of a stand-in share.
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
	Expired     uint64  `json:"expired"` // requests whose deadline passed
	WarmFactor  float64 `json:"warm_factor"`
	ColdMeanMs  float64 `json:"cold_mean_ms"`  // measured mean service time of the first requests after a cold start
	WarmMeanMs  float64 `json:"warm_mean_ms"`  // measured mean service time of about the last 100 requests
	LastStartMs int64   `json:"last_start_ms"` // Unix time in ms of the arrival of the last request, probes excluded; 0 for none
}

// Backend is the stand-in of one backend server.
type Backend struct {
	server        *state.BackendServer
	kind          state.ServiceKind
	service       settings.StandinService
	env           *environment
	target        Target
	slots         chan struct{}
	running       atomic.Int64
	cache         *cacheState
	laggedRunning laggedValue

	served, shed, cancelled, expired atomic.Uint64
	lastStart                        atomic.Int64 // Unix time in ms
}

// newBackend returns the stand-in of a backend server.
func newBackend(server *state.BackendServer, kind state.ServiceKind, service settings.StandinService, env *environment) *Backend {
	return &Backend{
		server: server, kind: kind, service: service, env: env, slots: make(chan struct{}, server.Slots),
		target: Target{Server: string(server.Name), Service: string(server.Service), Domain: string(server.Domain), Region: string(server.Region)},
		cache:  newCacheState(server.Name, service),
	}
}

func (b *Backend) status() BackendStatus {
	factor, cold, warm := b.cache.measured()
	return BackendStatus{
		Server: string(b.server.Name), Running: b.running.Load(), Served: b.served.Load(), Shed: b.shed.Load(),
		Cancelled: b.cancelled.Load(), Expired: b.expired.Load(), WarmFactor: factor, ColdMeanMs: cold, WarmMeanMs: warm,
		LastStartMs: b.lastStart.Load(),
	}
}

// ServeHTTP serves one request or probe.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		b.serveProbe(w, r)
		return
	}
	b.lastStart.Store(b.env.now().UnixMilli())
	from, known := b.env.instances.Location(r.RemoteAddr)
	if !b.waitNetworkDelay(r, from, known) {
		return
	}
	if d, err := callers.ParseDeadline(r.Header); err == nil && d > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), d)
		defer cancel()
		r = r.WithContext(ctx)
	}
	s, ok := b.acquireSlot(r, from.region)
	if !ok {
		b.shed.Add(1)
		replyNotRun(w, "no free slot")
		return
	}
	defer s.release()
	if b.kind == state.KindSubmission && r.Method == http.MethodPost {
		b.serveSubmission(w, r, s)
		return
	}
	if b.waitServiceTime(w, r) {
		b.serveContent(w, r, s)
	}
}

// replyNotRun answers 503 with the header that says that the request has not run.
func replyNotRun(w http.ResponseWriter, why string) {
	w.Header().Set(callers.HeaderNotRun, "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// waitNetworkDelay waits half the round trip time of a request from another failure domain or region. It returns false
// when the request was cancelled.
func (b *Backend) waitNetworkDelay(r *http.Request, from location, known bool) bool {
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

// slot is a slot of a backend server that one request holds.
type slot struct {
	backend *Backend
	peer    string // region of the entry instance
	once    sync.Once
}

// acquireSlot takes a slot. It waits up to SlotGrace, because a request that has just ended may not have freed its slot
// yet. It returns false when no slot became free, the request was cancelled, or a fault makes the server shed or drain.
func (b *Backend) acquireSlot(r *http.Request, peer string) (*slot, bool) {
	if _, ok := b.env.faults.Triggered(Drain, b.target); ok {
		return nil, false
	}
	if _, ok := b.env.faults.Triggered(Shed, b.target); ok {
		return nil, false
	}
	b.env.ledger.AddRunning(b.target.Server, peer, b.target.Region, 1)
	select {
	case b.slots <- struct{}{}:
	default:
		t := time.NewTimer(b.env.settings.SlotGrace)
		defer t.Stop()
		select {
		case b.slots <- struct{}{}:
		case <-t.C:
			b.env.ledger.AddRunning(b.target.Server, peer, b.target.Region, -1)
			return nil, false
		case <-r.Context().Done():
			b.env.ledger.AddRunning(b.target.Server, peer, b.target.Region, -1)
			return nil, false
		}
	}
	b.running.Add(1)
	return &slot{backend: b, peer: peer}, true
}

// release frees the slot; only the first call has an effect. It is called before the last bytes of an answer are
// written, because the entry instance may use the slot again as soon as it has received them.
func (s *slot) release() {
	s.once.Do(func() {
		b := s.backend
		b.running.Add(-1)
		<-b.slots
		b.env.ledger.AddRunning(b.target.Server, s.peer, b.target.Region, -1)
		b.served.Add(1)
	})
}

// waitServiceTime waits for the service time of the request. It returns false when the request was cancelled, or when its
// deadline passed, which it answers with 504.
func (b *Backend) waitServiceTime(w http.ResponseWriter, r *http.Request) bool {
	work := b.cache.nextServiceTime()
	if f, ok := b.env.faults.Triggered(Slow, b.target); ok {
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.env.ledger.AddLinkBytes(s.peer, b.target.Region, int64(len(data)))
	var sub Submission
	if err := json.Unmarshal(data, &sub); err != nil || sub.ID == "" {
		http.Error(w, "submission has no id", http.StatusBadRequest)
		return
	}
	if _, lose := b.env.faults.Triggered(LoseAccepted, b.target); !lose {
		b.env.ledger.RecordRun(sub.ID, b.target.Server)
	}
	if _, twice := b.env.faults.Triggered(RunTwice, b.target); twice {
		b.env.ledger.RecordRun(sub.ID, b.target.Server)
	}
	if !b.waitServiceTime(w, r) {
		return
	}
	s.release()
	if _, lie := b.env.faults.Triggered(FalseNotRun, b.target); lie {
		replyNotRun(w, "claimed not to have run")
		return
	}
	writeJSON(w, Receipt{ID: sub.ID, Server: b.target.Server})
}

// serveProbe serves the health and load endpoints, which take no slot.
func (b *Backend) serveProbe(w http.ResponseWriter, r *http.Request) {
	if _, ok := b.env.faults.Triggered(LoadSilent, b.target); ok {
		<-r.Context().Done()
		return
	}
	if !wait.For(r.Context(), b.env.settings.ProbeCost) {
		return
	}
	running := b.running.Load()
	if f, ok := b.env.faults.Triggered(LoadLag, b.target); ok {
		running = b.laggedRunning.update(b.env.now(), time.Duration(f.DelayMs)*time.Millisecond, running)
	}
	_, lie := b.env.faults.Triggered(LoadLie, b.target)
	if lie {
		running = 0
	}
	if r.URL.Path == "/load" {
		writeJSON(w, map[string]int64{"running": running, "slots": int64(b.server.Slots)})
		return
	}
	if _, drains := b.env.faults.Triggered(Drain, b.target); drains && !lie {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // the client may have disconnected
}

// sizeOf returns the size of the body in bytes: the query's `size` if it is valid, else the default of the service.
func (b *Backend) sizeOf(r *http.Request) int64 {
	const maxSize = 1 << 34 // bytes
	if n, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && n >= 0 && n <= maxSize {
		return n
	}
	return b.service.Size
}
