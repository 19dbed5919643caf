// Package placement chooses the backend server for a request. It is pure: views and time are passed in. The one side effect is
// that choosing a server that is cold or names a limit counts against the pace of requests to it, which the server's gauge holds.
//
// A backend server handles an object faster when it has handled it lately. Requests for one object therefore go to few
// servers: all instances rank the servers of a service in the same order for an object, and take the first with free capacity.
package placement

import (
	"math"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Request holds the properties of a request that determine its server.
type Request struct {
	Service  state.ServiceName
	Object   string // key of the object; empty when the route has no affinity
	Route    *routing.Route
	Customer *routing.Customer // nil when it is not known
	Region   state.RegionName  // of this instance
	Bulk     bool              // responses are so large that distance costs more than a cached object saves
	Tried    []state.BackendName
	TimeLeft time.Duration  // time left until the deadline of the response
	Random   func() float64 // random number from 0 (included) to 1 (excluded)

	// OverloadControl turns on the choice among more servers under load (spread.go) and admission by value. The fields below are
	// used with it only.
	OverloadControl bool
	Priority        int           // of the request: its customer's or its route's; 0 is the most urgent
	Retry           bool          // this instance has sent the request before
	Waited          time.Duration // since the request arrived at this instance
}

// Choice is the server for a request.
type Choice struct {
	Server *catalog.Server
	Kind   catalog.WorkKind // what the server probably has cached
	// RetryAfter is the time until the queues that led to a refusal have drained, spread at random; 0 for any other outcome.
	RetryAfter time.Duration
}

// Reason says why no server was chosen. It is Chosen if one was.
type Reason int

const (
	Chosen     Reason = iota
	NoServers         // the service has no server that the route allows
	Exhausted         // every server that the route allows has been tried
	Paused            // the remaining servers have asked for no requests for a time
	Limited           // the remaining servers are cold or name a limit, and must get no more requests for now
	Overloaded        // every considered server is expected to answer too late; see serversPerObject

	// Refused by package overload.
	Hopeless
	Late
	LessUrgent
	Displacing
)

// String returns the reason's name in log lines.
func (r Reason) String() string {
	return [...]string{"chosen", "no-servers", "exhausted", "paused", "limited", "overloaded", "hopeless", "late",
		"less-urgent", "displacing"}[r]
}

// OfOverload reports whether the request was refused for lack of capacity or time.
func (r Reason) OfOverload() bool { return r >= Overloaded }

// Parameters of the choice. Utilization is measured in requests per slot.
const (
	// serversPerObject is the number of servers, first in an object's order, that share its requests. More would balance the
	// load better, but each server caches a bounded number of objects and evicts some when it gets too many.
	serversPerObject = 2
	// acceptableUtilization is the utilization up to which a server is taken without examining the next one: a short wait at a
	// server that has the object cached costs less than the work at one that has not.
	acceptableUtilization = 1.5
	// lateFactor is the expected time, in target latencies, above which a request is refused at once: a late response has
	// little value and takes capacity from one that would be in time.
	lateFactor = 2
	// stallFactor is the time without a response, in expected times, above which a server is skipped. The first request for an
	// object may take three times the mean.
	stallFactor = 4
	// yieldFactor replaces lateFactor for a route that shares a service with a more urgent one: its requests leave the last
	// of the capacity to those of the urgent route.
	yieldFactor = 1.5
)

// Choose returns a server for the request, or nil and the reason. Choosing a server that is cold or names a limit counts against
// the pace of requests to it.
func Choose(v *catalog.View, r *Request, now state.Instant) (*catalog.Server, Reason) {
	c, reason := Place(v, r, now)
	return c.Server, reason
}

// Place is as Choose, and also says what the server probably has cached, and when a refused caller should return.
func Place(v *catalog.View, r *Request, now state.Instant) (Choice, Reason) {
	s := v.Services[r.Service]
	if s == nil {
		return Choice{}, NoServers
	}
	usable, reason := candidates(s, r, now)
	if len(usable) == 0 {
		return Choice{}, reason
	}
	localWeight := r.localWeight(s)
	sortCandidates(usable, r, localWeight)
	if r.OverloadControl && !r.Bulk {
		return placeSpread(s, r, usable, localWeight, now)
	}
	server, reason := chooseFirst(s, r, usable, localWeight, now)
	kind := catalog.MemberWork
	if r.Object == "" || r.Bulk {
		kind = catalog.PlainWork
	}
	return Choice{Server: server, Kind: kind}, reason
}

// chooseFirst examines the first serversPerObject candidates, or all of them for a bulk request.
func chooseFirst(s *catalog.Service, r *Request, usable []candidate, localWeight float64, now state.Instant) (*catalog.Server, Reason) {
	serviceTime := s.Time.Estimate()
	maxTime := r.maxExpectedTime(serviceTime)
	if displaced(s, r, usable[0], localWeight, now) {
		maxTime = min(maxTime, max(r.Route.TargetLatency, serviceTime))
	}
	for len(usable) > 0 {
		i := pick(usable, r, now)
		c := usable[i]
		if expectedTime(c.server, serviceTime, now) > maxTime {
			return nil, Overloaded
		}
		cold := now.Before(c.server.LimitedUntil)
		if (!cold || c.server.Gauge.ColdPacer.Allow(now, quota.ColdPace)) && c.server.AllowByLimit(now) {
			return c.server, Chosen
		}
		usable = slices.Delete(usable, i, i+1)
	}
	return nil, Limited
}

// StillUsable reports whether a server chosen from an older view may still get the request: the newest view has it, in the same
// incarnation, it has not become cold or begun to name a limit since, and it neither leaves nor has asked for a pause.
func StillUsable(newest *catalog.View, service state.ServiceName, chosen *catalog.Server, now state.Instant) bool {
	if chosen.Gauge.Leaving() || chosen.Gauge.Pause.Active(now) || chosen.LimitPace.Count == 0 && chosen.Gauge.Limit.Rate() > 0 {
		return false
	}
	s := newest.Server(service, chosen.Name)
	if s == nil || s.Address != chosen.Address || s.Born != chosen.Born {
		return false
	}
	return !now.Before(s.LimitedUntil) || now.Before(chosen.LimitedUntil)
}

// queueFactor is the expected time, in service times, that a request is always allowed: where the service time alone exceeds
// the target, short queues keep the servers busy.
const queueFactor = 1.5

// maxExpectedTime returns the expected time above which the request is refused.
func (r *Request) maxExpectedTime(serviceTime time.Duration) time.Duration {
	limit := r.TimeLeft
	factor := float64(lateFactor)
	if r.Route.Yields(r.Customer) {
		factor = yieldFactor
	}
	if target := r.Route.TargetLatency; target > 0 {
		limit = min(limit, time.Duration(factor*float64(target)))
	}
	return max(limit, time.Duration(queueFactor*float64(serviceTime)))
}

// expectedTime returns how long the server is expected to take for one more request, queueing included.
func expectedTime(s *catalog.Server, serviceTime time.Duration, now state.Instant) time.Duration {
	utilization := (s.Gauge.Load(now) + 1) / float64(max(1, s.Slots))
	return time.Duration(float64(serviceTime) * max(1, utilization) * s.Gauge.Slowness(now))
}

// candidate is a server with its rank for the request.
type candidate struct {
	server *catalog.Server
	rank   float64 // lower is earlier
	remote bool    // in another region
}

// stalled reports whether a request has been at the server for much longer than expected. The server's load is then unknown,
// because it reports its load only in responses.
func stalled(s *catalog.Server, serviceTime time.Duration, now state.Instant) bool {
	utilization := max(1, s.Gauge.Load(now)/float64(max(1, s.Slots)))
	return serviceTime > 0 && s.Gauge.OldestRequestAge(now) > time.Duration(stallFactor*utilization*float64(serviceTime))
}

// candidates returns the servers that the request may be sent to, and the reason if there are none. It returns ejected and
// stalled servers only when there are no others.
func candidates(service *catalog.Service, r *Request, now state.Instant) ([]candidate, Reason) {
	var usable, fallback []candidate
	reason := NoServers
	serviceTime := service.Time.Estimate()
	for _, s := range service.Servers {
		if !r.servedIn(s.Region) || s.Gauge.Leaving() {
			continue
		}
		if slices.Contains(r.Tried, s.Name) {
			reason = max(reason, Exhausted)
			continue
		}
		if s.Gauge.Pause.Active(now) {
			reason = max(reason, Paused)
			continue
		}
		if now.Before(s.LimitedUntil) && !s.ColdSender || !s.WithinLimit(now) {
			reason = max(reason, Limited)
			continue
		}
		c := candidate{server: s, remote: s.Region != r.Region}
		if now.Before(s.EjectedUntil) || stalled(s, serviceTime, now) {
			fallback = append(fallback, c)
			continue
		}
		usable = append(usable, c)
	}
	if len(usable) == 0 {
		usable = fallback
	}
	return usable, reason
}

// sortCandidates sorts by the weighted rendezvous hash of the object, or at random without an object. For bulk requests,
// servers of this instance's region come first.
func sortCandidates(list []candidate, r *Request, localWeight float64) {
	for i := range list {
		list[i].rank = r.rank(list[i].server, localWeight)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if r.Bulk && a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
}

// rank gives each server a share of the objects in proportion to its slots, and more to servers of this instance's region.
// Regions with few servers still send most of their load elsewhere.
func (r *Request) rank(s *catalog.Server, localWeight float64) float64 {
	slots := float64(max(1, s.Slots))
	if s.Region == r.Region {
		slots *= localWeight
	}
	if r.Object == "" {
		return -math.Log(1-r.Random()) / slots
	}
	return -math.Log(state.RendezvousFraction(r.Object, string(s.Name))) / slots
}

// displaced reports whether the object's first server may get no request now because of the limit that it names. At any other
// server the request takes the full time and evicts objects from the cache, so that it must not add to a queue there: requests
// for the objects of that server would all be late.
func displaced(service *catalog.Service, r *Request, first candidate, localWeight float64, now state.Instant) bool {
	if r.Object == "" || r.Bulk {
		return false
	}
	return slices.ContainsFunc(service.Servers, func(s *catalog.Server) bool {
		return !s.WithinLimit(now) && r.servedIn(s.Region) && !slices.Contains(r.Tried, s.Name) && r.rank(s, localWeight) < first.rank
	})
}

// pick examines the first serversPerObject candidates, or all of them for a bulk request. It returns the index of the first one
// with an acceptable utilization, or else of the least utilized one.
func pick(list []candidate, r *Request, now state.Instant) int {
	best, lowest := 0, math.Inf(1)
	for i := range list {
		if i >= serversPerObject && !r.Bulk {
			break
		}
		slots := float64(max(1, list[i].server.Slots))
		utilization := (list[i].server.Gauge.Load(now) + 1) / slots
		if utilization <= acceptableUtilization {
			return i
		}
		if utilization < lowest {
			best, lowest = i, utilization
		}
	}
	return best
}
