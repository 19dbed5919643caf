package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is the kind of disturbance that a step causes.
type fault string

// Faults. Those of instances and links last for a period. A plan may overlap several of the same kind.
const (
	killInstance      fault = "kill instance"   // SIGKILL, then a restart
	pauseInstance     fault = "pause instance"  // SIGSTOP, then SIGCONT
	stopInstance      fault = "stop instance"   // SIGTERM, then a restart after the exit
	reloadInstance    fault = "reload instance" // SIGHUP
	storeLink         fault = "store link"      // the link of one instance to the store
	serverLink        fault = "server link"     // the links of all instances to one backend server
	storeFails        fault = "store fails"
	storeWatchesStall fault = "store watches stall" // watches receive no changes
	storeCompacts     fault = "store compacts"
	storeLeasesExpire fault = "store leases expire" // all leases expire
	serverFails       fault = "server fails"
	drainServer       fault = "drain server"   // then list it as ready again
	replaceServer     fault = "replace server" // another server takes its address
	evacuateDomain    fault = "evacuate"
	changeTable       fault = "change table"

	serverLeaves    fault = "server leaves"     // it says so in its answers, and is replaced at the end
	serverAsksPause fault = "server asks pause" // it rejects requests and asks for none for some seconds
	serverSilent    fault = "server silent"     // its entry is missing for a while; it works on
	serverRepeats   fault = "server repeats"    // it sends copies of answers late

	serverLimits  fault = "server limits"  // it names a limit on requests/s in its answers
	storeRestored fault = "store restored" // it returns from a copy as old as the step is long

	soakStalled fault = "soak stalled" // not a step: azb-soak itself was delayed, so times measured meanwhile are invalid
)

const (
	warmUp       = 2 * time.Second // before the first step, so that the fleet is up
	recoveryTime = 9 * time.Second // after the last fault: the stability window, and then a period in which callers must be served
	maxFaultTime = 4 * time.Second // of one fault
	// maxAbsence is the max duration of a drain, an evacuation or a limit, and the max age of a copy of the store. It exceeds
	// their bounds, so that requests after the bound are checked.
	maxAbsence = 12 * time.Second
	// minMeanGap and maxMeanGap bound a seed's mean time between two steps. Promises that hold only without disturbance are
	// checked mainly by seeds with a large gap.
	minMeanGap = 400 * time.Millisecond
	maxMeanGap = 2500 * time.Millisecond
)

// step is one fault at one target.
type step struct {
	At      time.Duration // from the start of the load
	For     time.Duration
	Fault   fault
	Target  int // number of the instance, server or failure domain, modulo their count
	Variant int // number of the fault's variant, modulo the count of variants
}

// newPlan returns the steps of a seed, ordered by time. The same seed and length give the same steps. Faults may overlap.
func newPlan(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, seed))
	kinds := []fault{
		killInstance, pauseInstance, stopInstance, stopInstance, reloadInstance, storeLink, storeLink, serverLink, storeFails,
		storeWatchesStall, storeCompacts, storeLeasesExpire, serverFails, serverFails, drainServer, replaceServer, evacuateDomain, changeTable,
		changeTable,
	}
	// A seed uses only some kinds of faults, so that these overlap more often.
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:3+r.IntN(len(kinds)-3)]
	window := max(0, length-warmUp-recoveryTime-maxFaultTime)
	meanGap := minMeanGap + time.Duration(r.Int64N(int64(maxMeanGap-minMeanGap)))
	steps := make([]step, window/meanGap)
	for i := range steps {
		steps[i] = newStep(r, kinds, window, length)
	}
	steps = append(steps, newServerSteps(seed, window, length)...)
	steps = append(steps, newLimitAndCopySteps(seed, window, length)...)
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.At - b.At) })
	return steps
}

// newStep draws a step.
func newStep(r *rand.Rand, kinds []fault, window, length time.Duration) step {
	s := step{
		At:    warmUp + time.Duration(r.Int64N(int64(window))),
		Fault: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16),
	}
	maxTime := maxFaultTime
	switch s.Fault {
	case drainServer, evacuateDomain, serverLimits, storeRestored:
		maxTime = min(maxAbsence, length-recoveryTime-s.At)
	}
	s.For = maxTime/10 + time.Duration(r.Int64N(int64(maxTime*9/10)))
	return s
}

// newServerSteps returns further steps, of faults that were added later: they are drawn from a source of their own, so that
// the other steps of the seeds that have found a fault stay as they were.
func newServerSteps(seed uint64, window, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, ^seed))
	kinds := []fault{serverLeaves, serverAsksPause, serverSilent, serverRepeats}
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:1+r.IntN(len(kinds))]
	steps := make([]step, window/minMeanGap/time.Duration(2+r.IntN(6)))
	for i := range steps {
		steps[i] = newStep(r, kinds, window, length)
	}
	return steps
}

// newLimitAndCopySteps returns further steps, of limits that servers name and of a store that returns from a copy, from a source of
// their own as well.
func newLimitAndCopySteps(seed uint64, window, length time.Duration) []step {
	r := rand.New(rand.NewPCG(^seed, seed))
	kinds := [][]fault{{serverLimits}, {storeRestored}, {serverLimits, storeRestored}}[r.IntN(3)]
	steps := make([]step, window/minMeanGap/time.Duration(6+r.IntN(12)))
	for i := range steps {
		steps[i] = newStep(r, kinds, window, length)
	}
	return steps
}
