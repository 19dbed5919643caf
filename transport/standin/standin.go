package standin

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

// Paths of the control address.
const (
	PathFaults = "/v1/faults"
	PathLedger = "/v1/ledger"
	PathShift  = "/v1/shift"
)

// Standin runs the stand-ins of one deployment.
type Standin struct {
	Faults    *Faults
	Ledger    *Ledger
	Instances *Instances
	Platform  *Platform
	env       *environment
	backends  []*Backend
	nodes     []*node // of backends, in the same order
	platform  *node
	control   *node
}

// New returns the stand-ins of a deployment; Start opens their addresses.
func New(cfg *settings.Standin, deployment *state.Config, now func() time.Time) *Standin {
	s := &Standin{
		Instances: NewInstances(cfg.Instances, cfg.ListLag, now),
		Ledger:    NewLedger(deployment, cfg.Backends.SlotGrace, now),
	}
	s.Faults = NewFaults(s.applyFault)
	s.Instances.extraLag = func() time.Duration {
		f, ok := s.Faults.Triggered(ListLag, Target{})
		if !ok {
			return 0
		}
		return time.Duration(f.DelayMs) * time.Millisecond
	}
	s.env = &environment{settings: cfg.Backends, faults: s.Faults, instances: s.Instances, ledger: s.Ledger, now: now}
	s.Platform = newPlatform(NewStore(now), s.Instances, s.Faults, cfg.Store, now)
	s.platform = &node{address: cfg.Platform.String(), handler: s.Platform.Handler()}
	s.control = &node{address: cfg.Control.String(), handler: s.Control()}
	kinds := make(map[state.ServiceName]state.ServiceKind)
	for _, svc := range deployment.Services {
		kinds[svc.Name] = svc.Kind
	}
	for i := range deployment.Backends {
		d := &deployment.Backends[i]
		b := newBackend(d, kinds[d.Service], cfg.Services[string(d.Service)], s.env)
		s.backends = append(s.backends, b)
		s.nodes = append(s.nodes, &node{
			address: d.Address.String(), handler: b, maxConns: d.MaxConnections, connectCost: cfg.Backends.ConnectCost,
		})
	}
	return s
}

// Start listens on all addresses. When it fails, nothing listens.
func (s *Standin) Start() error {
	for _, n := range append([]*node{s.platform, s.control}, s.nodes...) {
		if err := n.start(); err != nil {
			s.Close()
			return err
		}
	}
	return nil
}

// Close closes all addresses and connections.
func (s *Standin) Close() {
	for _, n := range append([]*node{s.platform, s.control}, s.nodes...) {
		n.stop()
	}
}

// Handler returns the handler of a backend server, or nil.
func (s *Standin) Handler(server string) http.Handler {
	for _, b := range s.backends {
		if b.target.Server == server {
			return b
		}
	}
	return nil
}

// Control returns the HTTP interface of the control address.
func (s *Standin) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFaults, s.postFault)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults.List()) })
	mux.HandleFunc("DELETE "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"removed": s.Faults.Remove("")})
	})
	mux.HandleFunc("DELETE "+PathFaults+"/{id}", s.deleteFault)
	mux.HandleFunc("GET "+PathLedger, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("POST "+PathShift, s.postShift)
	mux.HandleFunc("POST "+storeapi.PathInstances, s.Instances.serveSet)
	return mux
}

// Report returns the ledger with the state of all backend servers.
func (s *Standin) Report() Report {
	r := s.Ledger.Report()
	r.Calls = s.Platform.Calls()
	for i, b := range s.backends {
		st := b.status()
		st.Connections, st.Refused = s.nodes[i].openConns(), s.nodes[i].refused.Load()
		r.Backends = append(r.Backends, st)
	}
	return r
}

func (s *Standin) postFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := DecodeFault(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err = s.Faults.Add(f)
	if errors.Is(err, ErrTooManyFaults) {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	writeJSON(w, f)
}

func (s *Standin) postShift(w http.ResponseWriter, r *http.Request) {
	var limit ShiftLimit
	if !decodeBody(w, r, &limit) {
		return
	}
	if !s.Ledger.LimitShift(limit) {
		http.Error(w, "from and to must be two regions of the deployment", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) deleteFault(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Remove(r.PathValue("id")) == 0 {
		http.Error(w, "no fault with this id", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyFault applies a fault that was added (on) or removed, if it affects listeners, connections or caches.
func (s *Standin) applyFault(f Fault, on bool) {
	switch f.Kind {
	case StoreOutage:
		s.applyOutage()
	case Crash:
		s.applyCrash(f)
	case Silent:
		if on {
			a := &activeFault{Fault: f}
			s.forEachBackend(f, func(i int) { s.nodes[i].setUnresponsive(a) })
		}
	case Cold:
		if on {
			s.forEachBackend(f, func(i int) { s.backends[i].cache.reset() })
		}
	}
}

func (s *Standin) forEachBackend(f Fault, do func(i int)) {
	for i, b := range s.backends {
		if f.matches(b.target) {
			do(i)
		}
	}
}

// applyOutage closes the platform's address if the active outage has mode OutageRefuse, and opens it otherwise.
func (s *Standin) applyOutage() {
	if f, ok := s.Faults.Triggered(StoreOutage, Target{}); ok && f.Mode == OutageRefuse {
		s.platform.stop()
		return
	}
	s.start(s.platform)
}

// applyCrash updates the backend servers that the fault matches: it stops those with an active crash fault, and starts the
// others with cold caches.
func (s *Standin) applyCrash(f Fault) {
	s.forEachBackend(f, func(i int) {
		if _, down := s.Faults.Triggered(Crash, s.backends[i].target); down {
			s.nodes[i].stop()
			return
		}
		s.backends[i].cache.reset()
		s.start(s.nodes[i])
	})
}

// maxStartAttempts bounds the attempts to listen again: a closing connection may still use the address for a short time.
const maxStartAttempts = 50

func (s *Standin) start(n *node) {
	for range maxStartAttempts {
		if n.start() == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
