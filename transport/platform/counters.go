package platform

import "sync/atomic"

// Counters counts calls to the platform.
type Counters struct {
	Reads  atomic.Uint64
	Writes atomic.Uint64
	Failed atomic.Uint64
}
