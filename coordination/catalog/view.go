package catalog

import (
	"cmp"
	"slices"

	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// View is what traffic goroutines know. It is immutable but for the gauges and budgets that it points to, which traffic
// goroutines update.
type View struct {
	Table     *routing.Table // nil until one is known
	Services  map[state.ServiceName]*Service
	Peers     []routing.Peer // live instances, sorted by name; self is among them once it is registered
	Instances int            // for shared limits: the most instances alive lately
	Evacuated map[state.DomainName]bool
	StoreLost bool
	Stopping  bool
	Revision  Revision // of the store, up to which the view knows it
	FleetKey  []byte   // signs messages between instances; nil until one is known
}

// Server returns a backend server of a service, and nil when it is to get no requests.
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

// Service is the backend servers of a service that may get requests, and what the instance counts for all of them.
type Service struct {
	Servers []*Server // sorted by name
	*Counters
}

// Counters are kept for a service as long as the process runs.
type Counters struct {
	Budget quota.RetryBudget
	Time   ServiceTime
}

// Server is a backend server that may get requests.
type Server struct {
	routing.Backend
	LimitedUntil state.Instant // until then the server is or may be cold, and takes few requests
	EjectedUntil state.Instant // until then the server is passed over, as long as others can be used
	ColdSender   bool          // whether this instance may send to the server while it is limited
	Gauge        *Gauge
}
