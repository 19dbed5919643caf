package catalog

import (
	"azurebridge/coordination/overload"
	"azurebridge/coordination/quarantine"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
	"cmp"
	"slices"
)

// View is the control state that traffic goroutines read. It is immutable except for the gauges and counters that it points
// to, which traffic goroutines update.
type View struct {
	// VerifiedAt is the last instant at which the view is proved to have held all changes of the store; 0 without a proof.
	VerifiedAt state.Instant
	Table      *routing.Table // nil until one is known
	Services   map[state.ServiceName]*Service
	Peers      []routing.Peer // live instances, sorted by name; self is among them once it is registered
	Instances  int            // recent max number of live instances, for shared limits
	Evacuated  map[state.DomainName]bool
	StoreLost  bool
	Stopping   bool
	Revision   Revision // store revision that the view reflects
	FleetKey   []byte   // signs messages between instances; nil until one is known
	Customers  quota.CustomerBound
	Owners     []routing.Peer       // that owners of customers follow from: Peers, and instances that have just disappeared together
	OwnersSeen uint64               // number of changes of Owners
	JoinedMS   int64                // when this instance joined, in ms since 1970; 0 before the first listing
	Quarantine *quarantine.Snapshot // of requests under which servers have ended; nil without any
}

// Server returns a backend server of a service, or nil when it must get no requests.
func (v *View) Server(service state.ServiceName, name state.BackendName) *Server {
	s := v.Services[service]
	if s == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(s.Servers, name, func(m *Server, name state.BackendName) int {
		return cmp.Compare(m.Name, name)
	})
	if !found {
		return nil
	}
	return s.Servers[i]
}

// Service holds the backend servers of a service that may get requests, and this instance's counters for the service.
type Service struct {
	Servers []*Server // sorted by name
	Regions []Region  // in which there are servers
	*Counters
}

// Region is a region with its distance from this instance.
type Region struct {
	Name     state.RegionName
	Distance *Distance
}

// Counters are the retry budget and the estimates of a service. They are retained as long as the process runs.
type Counters struct {
	Budget   quota.RetryBudget
	Time     ServiceTime
	Work     WorkTimes
	Objects  ObjectShares
	Pressure overload.Pressure
}

// Server is a backend server that may get requests.
type Server struct {
	routing.Backend
	LimitedUntil state.Instant // until then the server is or may be cold, and gets few requests
	EjectedUntil state.Instant // until then the server is skipped while others are usable
	ColdSender   bool          // whether this instance may send to the server while it is limited
	LimitPace    quota.Pace    // of this instance's requests while the server names a limit; zero when it named none
	Gauge        *Gauge
	Distance     *Distance // of this instance from the server's region
}

// WithinLimit reports whether a request may be sent to the server now under the limit that it names, if any. A limit that is
// newer than the view allows none, since this instance's part of it is not known yet.
func (s *Server) WithinLimit(now state.Instant) bool {
	if s.Gauge.Limit.Rate() == 0 {
		return true
	}
	return s.Gauge.LimitPacer.Ready(now, s.LimitPace)
}

// AllowByLimit is as WithinLimit, and counts the request as sent.
func (s *Server) AllowByLimit(now state.Instant) bool {
	if s.Gauge.Limit.Rate() == 0 {
		return true
	}
	return s.Gauge.LimitPacer.Allow(now, s.LimitPace)
}
