package overload

import (
	"math"
	"time"
)

// Reason says why a request is admitted or refused.
type Reason int

const (
	Admitted    Reason = iota
	Hopeless           // it is expected to miss its deadline
	Late               // it is expected to miss its target latency, and the service is short of capacity
	LessUrgent         // its share of requests of its priority is refused, because the service is short of capacity
	Displacing         // it is sent again and would take capacity from first attempts
	numOutcomes        // number of reasons
)

// String returns the reason's name in log lines.
func (r Reason) String() string {
	return [numOutcomes]string{"admitted", "hopeless", "late", "less-urgent", "displacing"}[r]
}

// Request holds the properties of a request that determine whether it is admitted.
type Request struct {
	Expected time.Duration // from now until the answer of the best server that was considered
	Queued   bool          // it has to wait there
	TimeLeft time.Duration // until the deadline
	Target   time.Duration // target latency; 0 for none
	Waited   time.Duration // since the request arrived
	Priority int           // 0 is the most urgent
	Retry    bool          // this instance has sent it before
}

// Parameters of the decision.
const (
	// fullShortage is the share of requests that has to be refused above which a request that is expected to be late is not
	// admitted any more. Between none and that share the longest expected time falls from the deadline to the target.
	fullShortage = 0.1
	// busy is the mean utilization from which on less urgent requests are refused for what more urgent ones have lost lately, also
	// while the estimate of the shortage is 0 for a moment.
	busy = 1.0
	// newPart is the part of the target latency up to which a request counts as new.
	newPart = 1.0 / 8
)

// Decide returns whether the request is admitted. shortage is the share of the service's requests that has to be refused, random a
// number from 0 (included) to 1 (excluded).
func Decide(r Request, s State, shortage, random float64) Reason {
	if r.Expected > r.TimeLeft && (r.Queued || r.Waited > time.Duration(newPart*float64(r.Target))) {
		return Hopeless // one that is new and does not have to wait is admitted, since times are learned from answers alone
	}
	if shortage <= 0 && s.Utilization <= busy {
		return Admitted
	}
	if r.Retry && shortage > 0 {
		if r.Queued {
			return Displacing
		}
		return Admitted
	}
	if r.Queued && r.Target > 0 {
		relief := 1 - min(1, shortage/fullShortage)
		latest := r.Target + time.Duration(relief*float64(max(0, r.TimeLeft+r.Waited-r.Target)))
		if r.Waited+r.Expected > latest {
			return Late
		}
	}
	if random < s.RefusedShare(r.Priority, shortage) {
		return LessUrgent
	}
	return Admitted
}

// Parameters of the estimate of the shortage.
const (
	// noShortage is the mean utilization up to which a service is not short of capacity: servers with a short queue have a
	// counterpart with a free slot.
	noShortage = 1.25
	// minRange is the least distance from there to the utilization at which all are refused. It holds where work takes about as
	// long as the target latency; a queue of half the slots keeps the servers busy.
	minRange = 0.5
	// earlyPart is the part of the target latency that the mean request may take before there is a shortage.
	earlyPart = 0.5
	// rejectFactor is the shortage for each rejected answer of a service whose queues are longer than noShortage. A few rejections
	// suffice to find the share that is too much, since each costs a try and the time that it takes.
	rejectFactor = 4
	// manyRejects is the share of rejecting answers above which a service counts as short whatever its utilization is. With fewer,
	// the request goes to another server. Once all serve again, the share falls below it within a quarter of reportMemory.
	manyRejects = 0.8
	// maxShortage leaves some requests that show when the shortage ends.
	maxShortage = 0.9
)

// Shortage returns the share of the requests that has to be refused, so that the others are in time. It grows with the utilization,
// from none where the mean request has half its target latency left to all where it is late. The utilization thus settles where
// what is admitted is what the servers can serve. work is the mean time of the work.
func (s State) Shortage(work time.Duration) float64 {
	late := 0.0 // utilization at which the mean request is late
	if work > 0 {
		late = float64(s.Target) / float64(work)
	}
	none := max(noShortage, earlyPart*late)
	shortage := (s.Utilization - none) / (max(late, none+minRange) - none)
	if s.Utilization > noShortage {
		shortage = max(shortage, rejectFactor*s.Rejecting)
	}
	shortage = max(shortage, (s.Rejecting-manyRejects)/(1-manyRejects))
	return min(max(0, shortage), maxShortage)
}

// leastShare is the least share of the requests of a class that is served, relative to that of all. A customer with a low priority
// must not be served less than a quarter as often as all; the rest of it covers what servers reject.
const leastShare = 0.35

// allowedLoss is by how much the share of a class that is lost, refused or late, may exceed that of a less urgent one. Less urgent
// classes often have longer targets and are in time in a queue that makes the more urgent ones late. 15 in 100 is the most that a
// more urgent kind may earn less of its value; half of it is for what servers reject and for estimates from few requests.
const allowedLoss = 0.07

// RefusedShare returns the share of the requests of a priority that is refused when the given share of all requests has to be.
// The least urgent are refused first, up to their least share, and none less often than a more urgent one lately was.
func (s State) RefusedShare(priority int, shortage float64) float64 {
	most := 1 - leastShare*(1-shortage)
	c := classOf(priority)
	rest := shortage // share of all requests that the class and more urgent ones have to give
	for d := numClasses - 1; d > c; d-- {
		rest -= s.Classes[d].Share * most
	}
	refused := 0.0
	if rest > 0 {
		refused = 1.0
		if share := s.Classes[c].Share; share > rest {
			refused = rest / share
		}
	}
	for d := range c {
		// A refused caller returns once, so that the share of requests that are lost is the square of that of refused tries.
		excess := s.Classes[d].Refused + s.Classes[d].Late - s.Classes[c].Late - allowedLoss
		refused = max(refused, s.Classes[d].Refused, math.Sqrt(min(1, max(0, excess))))
	}
	return min(refused, most)
}

// minSpread is the least time over which refused callers are spread when they return.
const minSpread = 300 * time.Millisecond

// RetryAfter returns the time until servers with the given utilization have worked off their queues so far that there is no shortage,
// spread over at least minSpread, so that callers do not return together. random is a number from 0 (included) to 1 (excluded).
func RetryAfter(utilization float64, work time.Duration, random float64) time.Duration {
	drained := time.Duration(max(0, utilization-noShortage) * float64(work))
	return drained + time.Duration(random*float64(max(minSpread, drained/2)))
}
