package blocks

import (
	"slices"
	"sort"
)

// key is the part of an address that selects a site.
type key interface{ uint16 | uint32 | uint64 }

// span assigns the keys from first to last, both included, to a site.
type span[K key] struct {
	first, last K
	site        Site
}

// segment is a run of IPv6 ranges in ascending order. Entry i covers the keys from starts[i] to the next start, exclusive. A
// segment is immutable once it is part of a table.
type segment struct {
	starts []uint64
	sites  []Site
}

// ranges holds the ranges of IPv6 addresses, which cover all keys. Neighbouring ranges have different sites, except at the
// boundary between two segments.
type ranges struct {
	hints    []uint32 // indexed by the top hintBits of a key: last segment that starts at or before the lowest such key
	firsts   []uint64 // first start of each segment; firsts[0] is 0
	segments []segment
	size     int // entries of all segments
}

func emptyRanges() ranges {
	r := ranges{firsts: []uint64{0}, segments: []segment{{starts: []uint64{0}, sites: []Site{NoSite}}}, size: 1}
	r.buildHints()
	return r
}

// hintBits is the number of leading bits of a key that choose a hint. The hints of one table take 16 KB, which stay in
// the processor's cache, and replace most steps of the search for the segment.
const hintBits = 12

// hintShift is the right shift of a key that leaves its hintBits leading bits.
const hintShift = 64 - hintBits

// buildHints computes the hints from firsts.
func (r *ranges) buildHints() {
	r.hints = make([]uint32, 1<<hintBits+1)
	at := 0
	for h := range 1 << hintBits {
		for at+1 < len(r.firsts) && r.firsts[at+1] <= uint64(h)<<hintShift {
			at++
		}
		r.hints[h] = uint32(at)
	}
	r.hints[1<<hintBits] = uint32(len(r.firsts) - 1)
}

func (r *ranges) lookup(k uint64) Site {
	h := k >> hintShift
	low, high := int(r.hints[h]), int(r.hints[h+1])
	s := &r.segments[low+lastAtMost(r.firsts[low:high+1], k)]
	return s.sites[lastAtMost(s.starts, k)]
}

// lastAtMost returns the index of the last element that is at most k. list[0] must be at most k.
func lastAtMost[K key](list []K, k K) int {
	low, n := 0, len(list)
	for n > 1 {
		half := n / 2
		next := low
		if list[low+half] <= k {
			next = low + half // compiles to a conditional move; a branch would be mispredicted half of the time
		}
		low = next
		n -= half
	}
	return low
}

func (r *ranges) bytes() int {
	const keyBytes, siteBytes = 8, 2
	n := 0
	for _, s := range r.segments {
		n += cap(s.starts)*keyBytes + cap(s.sites)*siteBytes
	}
	return n
}

// with returns the ranges with the changes applied. Changes within the same run of segments are applied in one pass over it.
func (r ranges) with(changes []span[uint64]) ranges {
	if len(changes) == 0 {
		return r
	}
	spans := flatten(changes)
	out := ranges{firsts: make([]uint64, 0, len(r.firsts)+1), segments: make([]segment, 0, len(r.segments)+1)}
	for i := 0; i < len(r.segments); {
		j, used := r.affected(i, spans)
		if used == 0 {
			out.add(r.segments[i])
			i++
			continue
		}
		for _, s := range overlay(r.segments[i:j], spans[:used]) {
			out.add(s)
		}
		// No applied span extends beyond segment j-1, because affected extends the run to the end of each span.
		spans = spans[used:]
		i = j
	}
	out.buildHints()
	return out
}

// affected returns the exclusive end of the run of segments, starting at i, that the first spans change, and the number of
// these spans, which is 0 when segment i stays unchanged.
func (r *ranges) affected(i int, spans []span[uint64]) (end, used int) {
	end = i + 1
	for used < len(spans) && (end == len(r.firsts) || spans[used].first < r.firsts[end]) {
		for end < len(r.firsts) && spans[used].last >= r.firsts[end] {
			end++
		}
		used++
	}
	return end, used
}

func (r *ranges) add(s segment) {
	r.firsts = append(r.firsts, s.starts[0])
	r.segments = append(r.segments, s)
	r.size += len(s.starts)
}

// flatten turns spans, of which later ones override earlier ones, into disjoint spans in ascending order.
func flatten[K key](changes []span[K]) []span[K] {
	if disjoint(changes) {
		return changes
	}
	var boundaries []K
	for _, c := range changes {
		boundaries = append(boundaries, c.first)
		if c.last+1 != 0 {
			boundaries = append(boundaries, c.last+1)
		}
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	owner := make([]int, len(boundaries)) // index of the change that decides the site from the boundary on, plus 1; 0 for none
	free := newFreeIndexes(len(boundaries))
	for i := len(changes) - 1; i >= 0; i-- {
		from := sort.Search(len(boundaries), func(b int) bool { return boundaries[b] >= changes[i].first })
		for b := free.find(from); b < len(boundaries) && boundaries[b] <= changes[i].last; b = free.find(b) {
			owner[b] = i + 1
			free.remove(b)
		}
	}
	var out []span[K]
	for b, o := range owner {
		if o == 0 {
			continue
		}
		end := changes[o-1].last
		if b+1 < len(boundaries) && boundaries[b+1]-1 < end {
			end = boundaries[b+1] - 1
		}
		out = append(out, span[K]{boundaries[b], end, changes[o-1].site})
	}
	return out
}

// disjoint reports whether the spans are in ascending order and do not overlap, as those of a bulk transfer are.
func disjoint[K key](list []span[K]) bool {
	for i := 1; i < len(list); i++ {
		if list[i].first <= list[i-1].last {
			return false
		}
	}
	return true
}

// freeIndexes finds the next index that has not been removed, in nearly constant time (union-find with path halving).
type freeIndexes []int

func newFreeIndexes(n int) freeIndexes {
	s := make(freeIndexes, n+1)
	for i := range s {
		s[i] = i
	}
	return s
}

func (s freeIndexes) find(i int) int {
	for s[i] != i {
		s[i] = s[s[i]]
		i = s[i]
	}
	return i
}

func (s freeIndexes) remove(i int) { s[i] = i + 1 }

// overlay applies disjoint spans in ascending order to a run of segments and returns the new segments, of at most
// segmentEntries entries each.
func overlay(old []segment, spans []span[uint64]) []segment {
	b := builder{}
	next := 0 // index in spans
	for si, s := range old {
		for i, start := range s.starts {
			end, bounded := endOf(old, si, i)
			k := start
			for {
				for next < len(spans) && spans[next].last < k {
					next++
				}
				if next == len(spans) || (bounded && spans[next].first >= end) {
					b.add(k, s.sites[i])
					break
				}
				if spans[next].first > k {
					b.add(k, s.sites[i])
				}
				b.add(max(k, spans[next].first), spans[next].site)
				if spans[next].last+1 == 0 || (bounded && spans[next].last+1 >= end) {
					break
				}
				k = spans[next].last + 1
			}
		}
	}
	return b.finish()
}

// endOf returns the first key after entry i of segment si; bounded is false for the last entry of the run.
func endOf(run []segment, si, i int) (end uint64, bounded bool) {
	if i+1 < len(run[si].starts) {
		return run[si].starts[i+1], true
	}
	if si+1 < len(run) {
		return run[si+1].starts[0], true
	}
	return 0, false
}

// builder collects entries, joins neighbours with the same site and splits the list into segments.
type builder struct {
	starts []uint64
	sites  []Site
}

func (b *builder) add(start uint64, site Site) {
	if n := len(b.sites); n > 0 && b.sites[n-1] == site {
		return
	}
	b.starts = append(b.starts, start)
	b.sites = append(b.sites, site)
}

func (b *builder) finish() []segment {
	parts := (len(b.starts) + segmentEntries - 1) / segmentEntries
	out := make([]segment, 0, parts)
	for p := range parts {
		from, to := p*len(b.starts)/parts, (p+1)*len(b.starts)/parts
		out = append(out, segment{starts: slices.Clone(b.starts[from:to]), sites: slices.Clone(b.sites[from:to])})
	}
	return out
}
