// Package routing holds the typed values of traffic routed by host and path: the routing table that operators write, the
// backend servers that announce themselves, and the instances of the system. It does no I/O and knows no encoding.
package routing

import (
	"slices"
	"strings"
	"time"

	"azurebridge/state"
)

// Version numbers routing tables. Zero means that there is none.
type Version uint64

// Table is one version of the operators' routing configuration. It is immutable once in force.
type Table struct {
	Version  Version
	Routes   []Route
	Services map[state.ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route
}

// Route says how requests of one host below one path prefix are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Idempotent    bool   // whether a request may run more than once
	Download      bool   // whether answers are large
	Timeout       time.Duration
	TargetLatency time.Duration // an answer within this time has its full value
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // most backend servers that one request may be sent to
	Affinity      bool          // whether a backend server is faster for objects that it has handled lately
	Parts         []Part        // the services that share the requests; never empty
	Regions       []state.RegionName

	yields bool // a more urgent route uses one of the route's services
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service state.ServiceName
	Weight  int
}

// Service is what the backend servers of a service have in common.
type Service struct {
	ColdRate float64 // requests/s that a cold backend server bears; 0 means no limit
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader     int   // bytes
	MaxBody       int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares Match and Yields. Call it once, before the table is shared.
func (t *Table) Index() {
	t.byHost = make(map[string][]*Route)
	urgent := make(map[state.ServiceName]int) // the priority of the service's most urgent route
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		for _, p := range r.Parts {
			if least, ok := urgent[p.Service]; !ok || r.Priority < least {
				urgent[p.Service] = r.Priority
			}
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.yields = slices.ContainsFunc(r.Parts, func(p Part) bool { return urgent[p.Service] < r.Priority })
	}
}

// Yields reports whether a more urgent route uses one of the route's services, so that this one is refused first when there
// is too little room.
func (r *Route) Yields() bool { return r.yields }

// Match returns the route of a host (without port) whose prefix is the longest that begins the path, or nil.
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

// Part returns the part for a draw from 0 (included) to 1 (excluded), in proportion to the weights.
func (r *Route) Part(draw float64) state.ServiceName {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	at := draw * float64(total)
	for _, p := range r.Parts {
		if at -= float64(p.Weight); at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
