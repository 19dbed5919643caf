package catalog

import (
	"sync/atomic"
	"time"

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
}

// Service is the backend servers of a service that may get requests, and the retry budget of the service.
type Service struct {
	Servers []*Server
	Budget  *quota.RetryBudget
}

// Server is a backend server that may get requests.
type Server struct {
	routing.Backend
	LimitedUntil state.Instant // until then the server is or may be cold, and takes few requests
	EjectedUntil state.Instant // until then the server is passed over, as long as others can be used
	ColdSender   bool          // whether this instance may send to the server while it is limited
	Gauge        *Gauge
}

// Gauge holds what traffic goroutines know of a backend server. It is safe for concurrent use.
type Gauge struct {
	Running  atomic.Int32 // requests of this instance at the server
	reported atomic.Int32 // requests that the server ran or queued when it last answered
	at       atomic.Int64 // state.Instant of that answer; 0 before the first
	Pace     quota.Pacer
}

// loadMemory is the time in which a reported load loses half of its weight.
const loadMemory = 1500 * time.Millisecond

// Report records the load that the server told with an answer, the answered request excluded.
func (g *Gauge) Report(now state.Instant, running, waiting int) {
	g.reported.Store(int32(max(0, running+waiting)))
	g.at.Store(int64(now))
}

// Load estimates the requests at the server: those of this instance, or what the server reported, whichever is more. A
// report counts less with its age.
func (g *Gauge) Load(now state.Instant) float64 {
	own := float64(g.Running.Load())
	at := g.at.Load()
	if at == 0 {
		return own
	}
	age := now.Sub(state.Instant(at))
	return max(own, float64(g.reported.Load())*float64(loadMemory)/float64(loadMemory+max(0, age)))
}
