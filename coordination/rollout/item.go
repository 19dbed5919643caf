// Package rollout distributes accepted configurations to all instances. In each region, ReadersPerRegion readers watch the
// store and send its changes to the others. Core does no I/O: it takes messages and the time, and returns messages and
// completely received configurations.
//
// Invariant config-final: the revision that Core reports as current never decreases.
package rollout

import (
	"crypto/sha256"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds and intervals of the rollout.
const (
	MaxData          = 4 << 20                // bytes of an encoded configuration
	MaxHistory       = 16                     // earlier configurations retained, to show both sides of a conflict
	MaxHistoryBytes  = 1 << 20                // total bytes of earlier configurations
	ReadersPerRegion = 2                      // instances of a region that watch the store
	StartPeers       = 3                      // instances of each region that a starting instance asks for their revision
	OfferInterval    = time.Second            // between periodic offers
	TurnInterval     = 5 * time.Second        // between round-robin offers to members of the own region
	RemoteTurns      = 3                      // number of TurnIntervals between offers of a non-reader to another region
	PullTimeout      = 400 * time.Millisecond // without a new part, after which missing parts are requested again
	MaxPullTries     = 5                      // max retries without a new part before a transfer is aborted
	MaxSources       = 4                      // max instances remembered as sources of the revision being received
	DecodeTimeout    = 2 * time.Second        // after which an undecoded configuration is queued for decoding again
)

// Digest is the SHA-256 digest of an encoded configuration.
type Digest = message.ConfigDigest

// Item is an encoded configuration. Data is never changed.
type Item struct {
	Revision state.Revision
	Digest   Digest
	Data     []byte
}

// NewItem returns the item of an encoded configuration.
func NewItem(r state.Revision, data []byte) Item {
	return Item{Revision: r, Digest: Sum(data), Data: data}
}

// Sum returns the digest of encoded bytes.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// Outbound is a message to another instance.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// Stats counts what the rollout did.
type Stats struct {
	Pushed     uint64 // parts sent
	Offered    uint64 // offers sent
	Pulled     uint64 // pulls sent
	Parts      uint64 // parts received and used
	Useless    uint64 // parts received that were already present or not wanted
	Completed  uint64 // configurations received from instances in full
	Corrupt    uint64 // configurations whose digest did not match
	GivenUp    uint64 // transfers aborted for lack of progress
	Rejected   uint64 // configurations that could not be decoded
	Refused    uint64 // messages rejected because a value was out of bounds
	OldOffered uint64 // revisions that were not higher than the current one
}

// partCount returns the number of parts of a configuration of size bytes.
func partCount(size int) int { return (size + message.MaxConfigPart - 1) / message.MaxConfigPart }

// part returns part n of the data.
func part(data []byte, n int) []byte {
	return data[n*message.MaxConfigPart : min(len(data), (n+1)*message.MaxConfigPart)]
}
