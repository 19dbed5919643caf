// Package routing defines the data types for traffic that is routed by host and path: the routing table that operators write,
// the backend servers that announce themselves, and the instances. It does no I/O and no encoding.
package routing

import (
	"slices"
	"strings"
	"time"

	"azurebridge/state"
)

// Version is the number of a routing table. Zero means that there is none.
type Version uint64

// Table is one version of the operators' routing configuration. It is immutable once in force.
type Table struct {
	Version  Version
	Routes   []Route
	Services map[state.ServiceName]Service
	Limits   Limits
	// Customers are those that send requests with keys; empty when requests carry none.
	Customers []Customer

	byHost map[string][]*Route
	byKey  map[KeyDigest]*Customer

	unknownTypes int // routes
}

// Route defines how requests of one host below one path prefix are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Idempotent    bool   // whether a request may run more than once
	Download      bool   // whether responses are large
	Upload        bool   // whether requests are large
	Timeout       time.Duration
	TargetLatency time.Duration      // a response within this time has its full value
	Priority      int                // 0 is the most urgent
	MaxAttempts   int                // max number of backend servers that one request may be sent to
	Affinity      bool               // whether a backend server is faster for objects that it has handled lately
	Parts         []Part             // the services that share the requests; never empty
	Regions       []state.RegionName // regions that requests may be sent to; empty means all
	// AllowAnonymous is whether a request without a known key is served where the table has customers.
	AllowAnonymous bool

	// UnknownType is whether the route's type is none that azurebridge knows; its requests run at most once.
	UnknownType bool

	ahead int // by how much the most urgent requests for any of the route's services are more urgent than Priority
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service state.ServiceName
	Weight  int
}

// Service holds the settings that all backend servers of a service share.
type Service struct {
	ColdRate float64 // requests/s that a cold backend server can handle; 0 leaves only the tolerance of the cold limit
}

// Limits bound the requests and the connections of callers.
type Limits struct {
	MaxHeader     int   // bytes
	MaxBody       int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index builds the data for Match, CustomerOf, Yields and UnknownTypes. Call it once, before the table is shared.
func (t *Table) Index() {
	t.indexKeys()
	t.indexPriorities()
	t.byHost = make(map[string][]*Route)
	t.unknownTypes = 0
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if r.UnknownType {
			t.unknownTypes++
		}
	}
}

// UnknownTypes returns the number of routes of an unknown type.
func (t *Table) UnknownTypes() int { return t.unknownTypes }

// Match returns the route of a host (without port) with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// ServedIn reports whether the route's requests may be sent to a region.
func (r *Route) ServedIn(region state.RegionName) bool {
	if len(r.Regions) == 0 {
		return true
	}
	return slices.Contains(r.Regions, region)
}

// Part selects one of the services in proportion to their weights. random is a number from 0 (included) to 1 (excluded).
func (r *Route) Part(random float64) state.ServiceName {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	remaining := random * float64(total)
	for _, p := range r.Parts {
		if remaining -= float64(p.Weight); remaining < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
