// Package placement chooses the backend server for a request. It is pure: views and time are passed in, and only the pace
// of requests to cold servers is taken from the server's gauge.
//
// A backend server handles an object faster when it has handled it lately. Requests of one object therefore go to few
// servers: all instances rank the servers of a service in the same order for an object, and take the first that has room.
package placement

import (
	"math"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Request is what the choice depends on.
type Request struct {
	Service state.ServiceName
	Object  string // key of the object; empty when the route has no affinity
	Route   *routing.Route
	Region  state.RegionName // of the instance
	Bulk    bool             // answers are so large that distance costs more than warmth gains
	Tried   []state.BackendName
	Left    time.Duration  // until the answer is due at the latest
	Draw    func() float64 // random number from 0 (included) to 1 (excluded)
}

// Reason says why no server was chosen.
type Reason int

// Reasons of a refusal.
const (
	Chosen     Reason = iota
	NoServers         // the service has no server that the route allows
	Exhausted         // every server that the route allows has been tried
	Limited           // what is left is cold and takes no more for now
	Overloaded        // every server would answer too late
)

// String returns the reason's name in log lines.
func (r Reason) String() string {
	return [...]string{"chosen", "no-servers", "exhausted", "limited", "overloaded"}[r]
}

// Use of servers, in requests for each slot.
const (
	// spread is the number of servers, first in an object's order, that share its requests. More would share the load better
	// but each server remembers a bounded number of objects, and forgets some when it is given too many.
	spread = 2
	// localWeight is the weight of a server of the own region against one elsewhere with as many slots.
	localWeight = 3
	// enough is the use up to which a server is taken without looking at the next one: a short wait at a server that knows
	// the object costs less than the work at one that does not.
	enough = 1.5
	// lateFactor is the expected time, in target latencies, from which a request is refused at once: a late answer has
	// little value and takes the place of one in time.
	lateFactor = 2
	// stallFactor is the time without an answer, in expected times, from which a server is passed over. The first request for
	// an object may take three times the mean.
	stallFactor = 4
	// yieldFactor is the same for a route that shares a service with a more urgent one: its requests leave the last
	// of the room to those.
	yieldFactor = 1.5
)

// Choose returns a server for the request, or nil and the reason. It takes the pace of a limited server when it chooses
// one.
func Choose(v *catalog.View, r *Request, now state.Instant) (*catalog.Server, Reason) {
	s := v.Services[r.Service]
	if s == nil {
		return nil, NoServers
	}
	usable, reason := candidates(s, r, now)
	if len(usable) == 0 {
		return nil, reason
	}
	order(usable, r)
	for len(usable) > 0 {
		i := pick(usable, r, now)
		c := usable[i]
		if work := s.Time.Estimate(); expected(c.server, work, now) > r.latest(work) {
			return nil, Overloaded
		}
		if !now.Before(c.server.LimitedUntil) || c.server.Gauge.ColdPacer.Take(now) {
			return c.server, Chosen
		}
		usable = slices.Delete(usable, i, i+1)
	}
	return nil, Limited
}

// Holds reports whether a server that an older view offered may still get the request: it is in the newest view as the same
// incarnation, and has not become cold meanwhile.
func Holds(newest *catalog.View, service state.ServiceName, chosen *catalog.Server, now state.Instant) bool {
	s := newest.Server(service, chosen.Name)
	if s == nil || s.Address != chosen.Address || s.Born != chosen.Born {
		return false
	}
	return !now.Before(s.LimitedUntil) || now.Before(chosen.LimitedUntil)
}

// queueFactor is the expected time, in service times, that a request is always allowed: where the work alone takes longer
// than wanted, short queues keep the servers busy.
const queueFactor = 1.5

// latest returns the expected time from which a request is refused.
func (r *Request) latest(work time.Duration) time.Duration {
	late := r.Left
	factor := float64(lateFactor)
	if r.Route.Yields() {
		factor = yieldFactor
	}
	if target := r.Route.TargetLatency; target > 0 {
		late = min(late, time.Duration(factor*float64(target)))
	}
	return max(late, time.Duration(queueFactor*float64(work)))
}

// expected returns when the server is expected to answer one more request.
func expected(s *catalog.Server, work time.Duration, now state.Instant) time.Duration {
	use := (s.Gauge.Load(now) + 1) / float64(max(1, s.Slots))
	return time.Duration(float64(work) * max(1, use))
}

// candidate is a server with its place in the order of the request's object.
type candidate struct {
	server *catalog.Server
	rank   float64 // lower is earlier
	far    bool    // in another region
}

// stalled reports whether a request has waited at the server for much longer than expected. The server's load is then not
// known, because it tells it with answers only.
func stalled(s *catalog.Server, work time.Duration, now state.Instant) bool {
	use := max(1, s.Gauge.Load(now)/float64(max(1, s.Slots)))
	return work > 0 && s.Gauge.OldestRequestAge(now) > time.Duration(stallFactor*use*float64(work))
}

// candidates returns the servers that the request may be sent to. Ejected and stalled servers are among them only when all
// are.
func candidates(service *catalog.Service, r *Request, now state.Instant) ([]candidate, Reason) {
	var usable, ejected []candidate
	reason := NoServers
	work := service.Time.Estimate()
	for _, s := range service.Servers {
		if !r.Route.ServedIn(s.Region) {
			continue
		}
		if slices.Contains(r.Tried, s.Name) {
			reason = max(reason, Exhausted)
			continue
		}
		if now.Before(s.LimitedUntil) && !s.ColdSender {
			reason = Limited
			continue
		}
		c := candidate{server: s, far: s.Region != r.Region}
		if now.Before(s.EjectedUntil) || stalled(s, work, now) {
			ejected = append(ejected, c)
			continue
		}
		usable = append(usable, c)
	}
	if len(usable) == 0 {
		usable = ejected
	}
	return usable, reason
}

// order sorts the candidates by the weighted rendezvous hash of the object, or at random without one. Bulk requests go
// to servers of the own region first.
func order(list []candidate, r *Request) {
	for i := range list {
		list[i].rank = r.rank(list[i].server)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if r.Bulk && a.far != b.far {
			if b.far {
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

// rank gives each server a share of the objects in proportion to its slots, and to those of the own region more: they are
// nearer, and bytes between regions are dear. Regions of few servers still pass most of their load on.
func (r *Request) rank(s *catalog.Server) float64 {
	slots := float64(max(1, s.Slots))
	if s.Region == r.Region {
		slots *= localWeight
	}
	if r.Object == "" {
		return -math.Log(1-r.Draw()) / slots
	}
	hash := state.RendezvousScore(r.Object, string(s.Name))
	const unit = 1.0 / (1 << 53)
	return -math.Log((float64(hash>>11)+1)*unit) / slots
}

// pick returns the first candidate with a free slot among the first few, or the one of them that is used least.
func pick(list []candidate, r *Request, now state.Instant) int {
	best, least := 0, math.Inf(1)
	for i := range list {
		if i >= spread && !r.Bulk {
			break
		}
		slots := float64(max(1, list[i].server.Slots))
		use := (list[i].server.Gauge.Load(now) + 1) / slots
		if use <= enough {
			return i
		}
		if use < least {
			best, least = i, use
		}
	}
	return best
}
