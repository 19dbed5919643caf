package main

import "azurebridge/transport/backendconn"

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
	// Fractions of all descriptors for connections at other addresses. Look-ups are short; each other instance of the region may have a
	// stream of the relay, and a few ask at the address for control.
	directoryFraction = 1.0 / 8
	peersFraction     = 1.0 / 8
	controlFraction   = 1.0 / 16
	// fewConns bounds the connections of the platform's readiness checks, and those of operators that read metrics.
	fewConns = 16
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
