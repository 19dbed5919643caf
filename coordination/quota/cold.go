package quota

import (
	"time"

	"azurebridge/state"
)

// ColdLimit bounds the requests/s that a cold backend server gets from all instances together: rate*Factor + Tolerance, where
// rate is the cold rate that its service configures. A server that has just started is cold: requests take longer, and it can
// handle only few.
type ColdLimit struct {
	Factor    float64
	Tolerance float64 // requests/s
}

// Pace of one instance towards a cold backend server.
const (
	// coldInterval is the min time between two requests of one instance to one cold backend server.
	coldInterval = 500 * time.Millisecond
	// coldPerSecond is the max number of requests that reach the server from one instance within any second at that interval,
	// network delays included.
	coldPerSecond = 3
	// coldSafety is the part of the limit that is used, because the instances' views of the fleet briefly differ after each change.
	coldSafety = 0.9
)

// ColdPace is the pace of one instance to one cold backend server.
var ColdPace = Pace{Count: 1, Per: coldInterval}

// ColdSenders returns how many instances may send to one cold backend server, given the cold rate of its service in requests/s.
func (l ColdLimit) ColdSenders(rate float64) int {
	return max(1, int(coldSafety*(rate*l.Factor+l.Tolerance)/coldPerSecond))
}

// IsSender reports whether self is among the first n of the instances for a backend server, by rendezvous hashing. An
// instance that is missing from the list is no sender, since the others may already use the whole limit.
func IsSender(self state.InstanceName, peers []state.InstanceName, server state.BackendName, n int) bool {
	own := state.RendezvousScore(string(server), string(self))
	ahead, listed := 0, false
	for _, p := range peers {
		listed = listed || p == self
		if state.RendezvousScore(string(server), string(p)) > own {
			ahead++
		}
	}
	return listed && ahead < n
}
