package state

import (
	"slices"
	"sync"
)

// Sizes of the index of live instances.
const (
	LookupEntries = 3    // instances returned by one look-up
	lookupBuckets = 2048 // per region, selected by a caller's hash. Each of 74 instances is first in 28 of them, within about 20%.
)

// LiveIndex holds the live instances of each region, so that a look-up neither scans the whole list of instances nor ranks
// the instances of a region for each caller.
type LiveIndex map[RegionName]*LiveRegion

// LiveRegion holds the live instances of one region, in parallel lists.
type LiveRegion struct {
	hashes  []uint64 // of the instances' names
	indexes []int    // in Snapshot.Instances
	ranking *ranking // nil with fewer than LookupEntries instances
}

// ranking holds, for each bucket of callers, the positions of the best instances in LiveRegion.hashes, best first. It uses
// rendezvous hashing, so that an instance that joins or leaves affects only the buckets that rank it. It is computed at the
// first look-up of the region, because most instances receive look-ups for few regions and ranking all 38 takes 20 ms.
type ranking struct {
	once    sync.Once
	buckets [][LookupEntries]uint16
}

// NewLiveIndex returns the index of the live instances in list. A region with the same live instances as in previous reuses
// the ranking of previous.
func NewLiveIndex(list []Instance, previous LiveIndex) LiveIndex {
	x := make(LiveIndex)
	for i := range list {
		in := &list[i]
		if in.Status != InstanceLive {
			continue
		}
		if x[in.Region] == nil {
			x[in.Region] = &LiveRegion{}
		}
		r := x[in.Region]
		r.hashes, r.indexes = append(r.hashes, in.Hash()), append(r.indexes, i)
	}
	for name, r := range x {
		if p := previous[name]; p != nil && slices.Equal(p.hashes, r.hashes) {
			r.ranking = p.ranking
		} else if len(r.hashes) >= LookupEntries {
			r.ranking = &ranking{}
		}
	}
	return x
}

func (r *LiveRegion) rank() {
	buckets := make([][LookupEntries]uint16, lookupBuckets)
	for bucket := range buckets {
		var b TopScores
		for i, h := range r.hashes {
			b.Add(LookupScore(h, uint64(bucket)), i)
		}
		for i := range b.N {
			buckets[bucket][i] = uint16(b.Index[i])
		}
	}
	r.ranking.buckets = buckets
}

// Entries appends to dst the indexes in Snapshot.Instances of the LookupEntries best instances of the region for a caller,
// given by its hash, best first. If the region has fewer live instances, it appends nothing and reports false.
func (x LiveIndex) Entries(region RegionName, caller uint64, dst []int) ([]int, bool) {
	r := x[region]
	if r == nil || r.ranking == nil {
		return dst, false
	}
	r.ranking.once.Do(r.rank)
	const multiplier = 0xD6E8FEB86659FD93 // odd, to spread hashes that differ in few bits
	for _, i := range r.ranking.buckets[caller*multiplier>>32%lookupBuckets] {
		dst = append(dst, r.indexes[i])
	}
	return dst, true
}

// TopScores collects the LookupEntries highest scores and their indexes, highest first. N is the number of entries.
type TopScores struct {
	Score [LookupEntries]uint64
	Index [LookupEntries]int
	N     int
}

// Add inserts a score if it is among the highest.
func (t *TopScores) Add(score uint64, index int) {
	if t.N == LookupEntries && score <= t.Score[LookupEntries-1] {
		return
	}
	t.N = min(t.N+1, LookupEntries)
	at := t.N - 1
	for ; at > 0 && t.Score[at-1] < score; at-- {
		t.Score[at], t.Index[at] = t.Score[at-1], t.Index[at-1]
	}
	t.Score[at], t.Index[at] = score, index
}

// LookupScore ranks an instance, given by the hash of its name, for a caller. The top bit is 0.
func LookupScore(instance, caller uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio, spreads consecutive hashes
	h := (caller ^ instance) * multiplier
	h ^= h >> 32
	return h * multiplier >> 1
}
