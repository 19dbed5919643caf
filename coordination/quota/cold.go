package quota

import (
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// ColdLimit bounds the requests a second that a cold backend server gets from all instances together.
type ColdLimit struct {
	Factor    float64 // of the rate that the service says a cold server bears
	Tolerance float64 // requests/s besides
}

// Pace of one instance towards a cold backend server.
const (
	// ColdInterval is the least time between two requests of one instance to one cold backend server.
	ColdInterval = 500 * time.Millisecond
	// coldPerSecond is the most requests of one instance within any second at that pace, delays on the way included.
	coldPerSecond = 3
	// coldSafety is the part of the limit that is used: views of the fleet differ for a moment after each change.
	coldSafety = 0.9
)

// ColdSenders returns how many instances may send to one cold backend server, given the rate that its service bears.
func (l ColdLimit) ColdSenders(rate float64) int {
	return max(1, int(coldSafety*(rate*l.Factor+l.Tolerance)/coldPerSecond))
}

// IsSender reports whether self is among the first n of the instances for a backend server, by rendezvous hashing. An
// instance that knows of no instances is no sender, since the others may already use the whole limit.
func IsSender(self state.InstanceName, peers []state.InstanceName, server state.BackendName, n int) bool {
	own := state.RendezvousScore(string(server), string(self))
	ahead, known := 0, false
	for _, p := range peers {
		known = known || p == self
		if state.RendezvousScore(string(server), string(p)) > own {
			ahead++
		}
	}
	return known && ahead < n
}

// Pacer spaces the requests of one instance to one backend server. It is safe for concurrent use.
type Pacer struct {
	next atomic.Int64 // state.Instant from which the next request may be sent
}

// Take returns true at most once in each ColdInterval.
func (p *Pacer) Take(now state.Instant) bool {
	next := p.next.Load()
	return int64(now) >= next && p.next.CompareAndSwap(next, int64(now.Add(ColdInterval)))
}
