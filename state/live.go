package state

import (
	"slices"
	"sync"
)

// Sizes of the index of live instances.
const (
	LookupEntries = 3    // instances that one look-up names
	liveSlots     = 2048 // per region; a caller's hash selects one. At 74 instances each has 28 of them, within about 20%.
)

// LiveIndex holds the live instances of each region for look-ups, so that one neither reads the whole list nor ranks the
// instances of a region for each caller.
type LiveIndex map[RegionName]*LiveRegion

// LiveRegion is the live instances of one region.
type LiveRegion struct {
	hashes  []uint64 // of the instances' names
	indexes []int    // in Snapshot.Instances
	ranking *ranking // nil with fewer than LookupEntries instances
}

// ranking holds, for callers of each slot, the positions of the instances in LiveRegion.hashes, best first, by rendezvous
// hashing: a change of the fleet moves only the slots of the instance that changed. It is made at the first look-up,
// since most instances are asked for few regions and ranking all 38 takes 20 ms.
type ranking struct {
	once  sync.Once
	slots [][LookupEntries]uint16
}

// NewLiveIndex returns the index of a list. Regions whose live instances are those of previous are not ranked again.
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
	slots := make([][LookupEntries]uint16, liveSlots)
	for s := range slots {
		var b Best
		for i, h := range r.hashes {
			b.Add(LookupScore(h, uint64(s)), i)
		}
		for i := range b.N {
			slots[s][i] = uint16(b.Index[i])
		}
	}
	r.ranking.slots = slots
}

// Entries appends the indexes of the instances that a caller of the region should use, best first. It reports false when
// the region has fewer than LookupEntries live instances, and then appends nothing.
func (x LiveIndex) Entries(region RegionName, caller uint64, dst []int) ([]int, bool) {
	r := x[region]
	if r == nil || r.ranking == nil {
		return dst, false
	}
	r.ranking.once.Do(r.rank)
	const multiplier = 0xD6E8FEB86659FD93 // odd, to spread hashes that differ in few bits
	for _, i := range r.ranking.slots[caller*multiplier>>32%liveSlots] {
		dst = append(dst, r.indexes[i])
	}
	return dst, true
}

// Best holds the highest scores and their indexes, highest first.
type Best struct {
	Score [LookupEntries]uint64
	Index [LookupEntries]int
	N     int
}

// Add takes a score in if it is among the highest.
func (b *Best) Add(score uint64, index int) {
	if b.N == LookupEntries && score <= b.Score[LookupEntries-1] {
		return
	}
	b.N = min(b.N+1, LookupEntries)
	at := b.N - 1
	for ; at > 0 && b.Score[at-1] < score; at-- {
		b.Score[at], b.Index[at] = b.Score[at-1], b.Index[at-1]
	}
	b.Score[at], b.Index[at] = score, index
}

// LookupScore ranks an instance, given by the hash of its name, for a caller. The top bit is 0.
func LookupScore(instance, caller uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio, spreads consecutive hashes
	h := (caller ^ instance) * multiplier
	h ^= h >> 32
	return h * multiplier >> 1
}
