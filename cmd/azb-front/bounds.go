package main

import (
	"golang.org/x/sys/unix"

	"azurebridge/transport/backendconn"
)

const (
	// memoryLimitFraction is the fraction of the process's memory that is set as the Go runtime's soft memory limit, near which
	// the garbage collector works harder. The rest is for the program text, the C library and the run time's own memory.
	memoryLimitFraction = 0.6
	// budgetFraction is the fraction of the process's memory that is held for callers and servers at most: half of the soft limit,
	// because the garbage collector lets the heap grow to twice what is in use, and the other half also holds the state of the
	// instance.
	budgetFraction = 0.3
	// minBudget is the least memory for callers and servers, in bytes: with less, a single large body with its answer would not fit.
	minBudget = 8 << 20
	// ownDescriptors is the number of descriptors that the process needs besides the connections of callers and to servers:
	// listeners, the store, other instances and operators.
	ownDescriptors = 64
	// callersFraction is the fraction of the other descriptors for callers' connections. Each request in progress may need a
	// connection to a server.
	callersFraction = 0.5
	// minConns is the least bound on callers' connections.
	minConns = 8
	// aheadMemoryFraction is the fraction of the process's memory that answers may take that wait for an earlier one of their
	// connection; each has up to backendconn.MaxBuffered bytes.
	aheadMemoryFraction = 0.25
	// unlimitedAhead bounds such requests where the settings state no memory.
	unlimitedAhead = 256
)

// maxAhead returns the max number of requests that are in progress behind another one of their connection.
func maxAhead(memoryMegabyte float64) int {
	if memoryMegabyte == 0 {
		return unlimitedAhead
	}
	return max(1, int(memoryMegabyte*(1<<20)*aheadMemoryFraction/backendconn.MaxBuffered))
}

// budgetBytes returns the memory for callers and servers; 0 when the settings state no memory.
func budgetBytes(memoryMegabyte float64) int64 {
	if memoryMegabyte == 0 {
		return 0
	}
	return max(minBudget, int64(memoryMegabyte*(1<<20)*budgetFraction))
}

// descriptorLimit returns the smaller of the settings' and the system's limit on open descriptors, or 0 when there is none.
func descriptorLimit(setting float64) float64 {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil || system.Cur == unix.RLIM_INFINITY {
		return setting
	}
	if setting == 0 {
		return float64(system.Cur)
	}
	return min(setting, float64(system.Cur))
}

// maxConns returns the max number of callers' connections; 0 when there is no limit on descriptors.
func maxConns(descriptors float64) int {
	if descriptors == 0 {
		return 0
	}
	return max(minConns, int((descriptors-ownDescriptors)*callersFraction))
}
