package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is what a step does to the system.
type fault string

// Faults. Those of instances and links last for a time; plans put several of a kind at the same time.
const (
	killInstance   fault = "kill instance"   // SIGKILL, started again afterwards
	pauseInstance  fault = "pause instance"  // SIGSTOP, SIGCONT
	stopInstance   fault = "stop instance"   // SIGTERM, started again when it has ended
	reloadInstance fault = "reload instance" // SIGHUP
	storeLink      fault = "store link"      // of one instance
	serverLink     fault = "server link"     // of one backend server, from all instances
	storeFails     fault = "store fails"
	storeDeaf      fault = "store deaf" // watches hear of nothing
	storeCompacts  fault = "store compacts"
	storeLapses    fault = "store lapses" // leases end
	serverFails    fault = "server fails"
	drainServer    fault = "drain server"   // and list it again
	replaceServer  fault = "replace server" // another one takes its address
	evacuate       fault = "evacuate"
	changeTable    fault = "change table"

	soakHeldUp fault = "soak held up" // not a step: what the soak sees of time is worth nothing
)

// Times of a plan.
const (
	warmUp      = 2 * time.Second // before the first step
	calmEnd     = 9 * time.Second // after the last fault: the stability window, and then callers must be served
	longestTime = 4 * time.Second // of one fault
	// longestAbsence is the longest time of a drain or an evacuation: long enough to be checked past its bound.
	longestAbsence = 12 * time.Second
	// closestSteps and widestSteps are the mean times between two steps in the busiest and the calmest seeds. Promises that
	// hold for instances in touch are checked in calm ones mostly.
	closestSteps = 400 * time.Millisecond
	widestSteps  = 2500 * time.Millisecond
)

// step is one fault at one target.
type step struct {
	At     time.Duration // from the start of the load
	For    time.Duration
	Fault  fault
	Target int // number of the instance, server or failure domain
	How    int // variant; the fault takes it modulo its variants
}

// newPlan returns the steps of a seed, in order of time. Faults overlap and come in series.
func newPlan(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, seed))
	kinds := []fault{
		killInstance, pauseInstance, stopInstance, stopInstance, reloadInstance, storeLink, storeLink, serverLink, storeFails,
		storeDeaf, storeCompacts, storeLapses, serverFails, serverFails, drainServer, replaceServer, evacuate, changeTable,
		changeTable,
	}
	// A seed plays some kinds only, so that these meet more often.
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:3+r.IntN(len(kinds)-3)]
	span := max(0, length-warmUp-calmEnd-longestTime)
	gap := closestSteps + time.Duration(r.Int64N(int64(widestSteps-closestSteps)))
	steps := make([]step, span/gap)
	for i := range steps {
		s := step{
			At:    warmUp + time.Duration(r.Int64N(int64(span))),
			Fault: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16), How: r.IntN(1 << 16),
		}
		longest := longestTime
		if s.Fault == drainServer || s.Fault == evacuate {
			longest = min(longestAbsence, length-calmEnd-s.At)
		}
		s.For = longest/10 + time.Duration(r.Int64N(int64(longest*9/10)))
		steps[i] = s
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.At - b.At) })
	return steps
}
