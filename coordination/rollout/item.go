// Package rollout spreads accepted configurations among the instances. Core is a pure core: it takes messages and the
// time, and returns messages and completely received configurations.
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
	MaxHistory       = 16                     // earlier configurations kept, to show both sides of a conflict
	MaxHistoryBytes  = 1 << 20                // bytes of them together
	ReadersPerRegion = 2                      // instances of a region that watch the store
	StartPeers       = 3                      // instances of each region that a starting instance asks
	OfferInterval    = time.Second            // between periodic offers
	TurnInterval     = 5 * time.Second        // between offers to the members of the own region in turn
	FarTurns         = 3                      // turns between offers of an instance that is no reader to another region
	PullTimeout      = 400 * time.Millisecond // without a new part, after which the parts are asked for again
	MaxPullTries     = 5                      // without a new part, after which a transfer is given up
	MaxSources       = 4                      // instances known to offer the revision being received
	OpenTimeout      = 2 * time.Second        // after which a configuration is handed out for decoding again
)

// Digest is the SHA-256 digest of an encoded configuration.
type Digest = message.ConfigDigest

// Item is an encoded configuration. Data is never changed.
type Item struct {
	Revision state.Revision
	Digest   Digest
	Data     []byte
}

// NewItem returns the item of encoded bytes.
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
	Useless    uint64 // parts received that were known or not asked for
	Completed  uint64 // configurations received from instances in full
	Corrupt    uint64 // configurations whose digest did not match
	GivenUp    uint64 // transfers without progress
	Rejected   uint64 // configurations that could not be decoded
	Refused    uint64 // messages outside the bounds
	OldOffered uint64 // revisions that were not higher than the current one
}

// parts returns the number of parts of size bytes.
func parts(size int) int { return (size + message.MaxConfigPart - 1) / message.MaxConfigPart }

// part returns part n of the data.
func part(data []byte, n int) []byte {
	return data[n*message.MaxConfigPart : min(len(data), (n+1)*message.MaxConfigPart)]
}
