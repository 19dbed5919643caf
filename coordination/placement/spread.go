package placement

import (
	"math"
	"slices"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/overload"
	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// Parameters of the spreading of an object over servers.
const (
	// maxMembers bounds the servers that share an object.
	maxMembers = 32
	// furtherServers is the number of servers after the members that are considered when the members are expected to be late.
	furtherServers = 6
)

// option is a candidate with the expected time of the request there.
type option struct {
	index       int // among the candidates
	kind        catalog.WorkKind
	utilization float64 // requests per slot, this one included
	expected    time.Duration
}

// members returns the number of servers, first in the object's order, that share its requests: serversPerObject, or more for an
// object with a larger share of the requests than that many servers of the service have of its slots. The statistical error of
// the counted share is subtracted, so that a rare object is not spread by chance.
func (r *Request) members(s *catalog.Service, candidates int) int {
	if r.Object == "" {
		return min(serversPerObject, candidates)
	}
	share, requests := s.Objects.Share(r.Object)
	if requests > 0 {
		share = max(0, share-math.Sqrt(share/requests)-1/requests)
	}
	n := int(math.Ceil(share * float64(candidates)))
	return min(max(serversPerObject, n), maxMembers, candidates)
}

// placeSpread chooses among the servers that share the object, and among further ones when these are expected to be late.
func placeSpread(s *catalog.Service, r *Request, usable []candidate, localWeight float64, now state.Instant) (Choice, Reason) {
	members := r.members(s, len(usable))
	maxTime := time.Duration(math.MaxInt64)
	if displaced(s, r, usable[0], localWeight, now) {
		maxTime = max(r.Route.TargetLatency, s.Time.Estimate())
	}
	pressure := s.Pressure.At(now)
	shortage := pressure.Shortage(s.Work.Usual())
	random := r.Random()
	for len(usable) > 0 {
		members = min(members, len(usable))
		o := r.best(s, usable, members, pressure.Utilization, now)
		if o.expected > maxTime {
			return Choice{RetryAfter: r.retryAfter(s, o, Overloaded, pressure)}, Overloaded
		}
		if refused := r.admit(o, pressure, shortage, random); refused != Chosen {
			return Choice{RetryAfter: r.retryAfter(s, o, refused, pressure)}, refused
		}
		c := usable[o.index]
		cold := now.Before(c.server.LimitedUntil)
		if (!cold || c.server.Gauge.ColdPacer.Allow(now, quota.ColdPace)) && c.server.AllowByLimit(now) {
			return Choice{Server: c.server, Kind: o.kind}, Chosen
		}
		usable = slices.Delete(usable, o.index, o.index+1)
	}
	return Choice{}, Limited
}

// admit decides whether the request is sent to the best server.
func (r *Request) admit(o option, pressure overload.State, shortage, random float64) Reason {
	reason := overload.Decide(overload.Request{
		Expected: o.expected, Queued: o.utilization > 1, TimeLeft: r.TimeLeft, Target: r.Route.TargetLatency, Waited: r.Waited,
		Priority: r.Priority, Retry: r.Retry,
	}, pressure, shortage, random)
	switch reason {
	case overload.Hopeless:
		return Hopeless
	case overload.Late:
		return Late
	case overload.LessUrgent:
		return LessUrgent
	case overload.Displacing:
		return Displacing
	}
	return Chosen
}

// retryAfter returns when a refused caller should return: for a reason of the whole service when its queues, and else when that of the
// considered server is short again.
func (r *Request) retryAfter(s *catalog.Service, o option, reason Reason, pressure overload.State) time.Duration {
	utilization := o.utilization
	if reason == LessUrgent || reason == Displacing {
		utilization = pressure.Utilization
	}
	return overload.RetryAfter(utilization, s.Work.Usual(), r.Random())
}

// option returns the i-th candidate with its expected time. usual is the usual utilization of a server of the service.
func (r *Request) option(s *catalog.Service, list []candidate, i, members int, usual float64, now state.Instant) option {
	server := list[i].server
	slots := float64(max(1, server.Slots))
	o := option{index: i, kind: catalog.OtherWork}
	switch {
	case r.Object == "":
		o.kind = catalog.PlainWork
	case i < members:
		o.kind = catalog.MemberWork
	}
	o.utilization = (server.Gauge.LoadAgainst(now, usual*slots) + 1) / slots
	o.expected = time.Duration(float64(s.Work.Estimate(o.kind)) * max(1, o.utilization) * server.Gauge.Slowness(now))
	if list[i].remote && server.Distance != nil {
		o.expected += server.Distance.Estimate()
	}
	return o
}

// best returns the server to use.
func (r *Request) best(s *catalog.Service, list []candidate, members int, usual float64, now state.Instant) option {
	var best option
	if members <= serversPerObject {
		best = r.option(s, list, 0, members, usual, now)
		if best.utilization > acceptableUtilization || r.late(best) {
			for i := 1; i < members; i++ {
				best = better(best, r.option(s, list, i, members, usual, now))
			}
		}
	} else {
		best = r.ofTwo(s, list, 0, members, members, usual, now)
	}
	if !r.late(best) || len(list) == members {
		return best
	}
	return better(best, r.ofTwo(s, list, members, min(len(list), members+furtherServers), members, usual, now))
}

// late reports whether the request is expected to miss its target latency because it has to wait at the server. One that is late
// by its work alone would be so at any server.
func (r *Request) late(o option) bool {
	return o.utilization > 1 && r.Route.TargetLatency > 0 && r.Waited+o.expected > r.Route.TargetLatency
}

// ofTwo returns the better one of two different random candidates from the range, or the only one.
func (r *Request) ofTwo(s *catalog.Service, list []candidate, from, to, members int, usual float64, now state.Instant) option {
	n := to - from
	i := from + min(n-1, int(r.Random()*float64(n)))
	a := r.option(s, list, i, members, usual, now)
	if n == 1 {
		return a
	}
	j := from + (i-from+1+min(n-2, int(r.Random()*float64(n-1))))%n
	return better(a, r.option(s, list, j, members, usual, now))
}

// better returns the option with the shorter expected time, the first one if they are equal.
func better(a, b option) option {
	if b.expected < a.expected || b.expected == a.expected && b.utilization < a.utilization {
		return b
	}
	return a
}
