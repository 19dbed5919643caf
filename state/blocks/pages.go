package blocks

import (
	"slices"

	"github.com/pkg/errors"
)

// pages holds the ranges of IPv4 addresses.
//
// A page covers the addresses that agree in their upper 16 bits, so that a range costs 2 bytes for its start and 2 for
// its site. The pages that agree in their upper 8 bits form a shard, which is copied as a whole when one of them changes.
type pages struct {
	shards [256]*shard
	size   int // ranges of all pages
}

// shard holds 256 pages. Page i is data[offsets[i]:offsets[i+1]]: the starts of its ranges in ascending order, of which the
// first is 0, followed by one site for each range. A shard is immutable once it is part of a table.
type shard struct {
	offsets [257]uint32
	data    []uint16
}

// emptyShard has one range with NoSite in each page. All tables share it.
var emptyShard = func() *shard {
	s := &shard{data: make([]uint16, 2*256)}
	for i := range s.offsets {
		s.offsets[i] = uint32(2 * i)
	}
	return s
}()

func newPages() pages {
	p := pages{size: 1 << 16}
	for i := range p.shards {
		p.shards[i] = emptyShard
	}
	return p
}

func (p *pages) lookup(k uint32) Site {
	s := p.shards[k>>24]
	page := k >> 16 & 0xff
	d := s.data[s.offsets[page]:s.offsets[page+1]]
	n := len(d) / 2
	return Site(d[n+lastAtMost(d[:n], uint16(k))])
}

// bytes returns the memory that the pages take, in bytes, without emptyShard.
func (p *pages) bytes() int {
	const shardBytes = 257*4 + 24
	n := len(p.shards) * 8
	for _, s := range p.shards {
		if s != emptyShard {
			n += shardBytes + 2*cap(s.data)
		}
	}
	return n
}

// with returns the pages with the changes applied; of overlapping changes, later ones override earlier ones. It fails with
// ErrTooLarge.
func (p pages) with(changes []span[uint32]) (pages, error) {
	spans := flatten(changes)
	for len(spans) > 0 {
		index := spans[0].first >> 24
		first, end := index<<24, index<<24|0xffffff
		var inShard []span[uint32]
		for len(spans) > 0 && spans[0].first <= end {
			s := spans[0]
			inShard = append(inShard, span[uint32]{max(first, s.first), min(end, s.last), s.site})
			if s.last > end {
				spans[0].first = end + 1
				break
			}
			spans = spans[1:]
		}
		old := p.shards[index]
		next := old.overlay(first, inShard)
		p.size += (len(next.data) - len(old.data)) / 2
		p.shards[index] = next
		if p.size > MaxBlocks {
			return pages{}, errors.WithStack(ErrTooLarge)
		}
	}
	return p, nil
}

// overlay returns the shard with the spans applied to it. The spans are disjoint and in ascending order; first is the first key
// of the shard.
func (s *shard) overlay(first uint32, spans []span[uint32]) *shard {
	n := &shard{data: make([]uint16, 0, len(s.data)+4*len(spans))}
	var keys []uint16
	var sites []Site
	add := func(k uint32, site Site) {
		if len(sites) == 0 || sites[len(sites)-1] != site {
			keys, sites = append(keys, uint16(k)), append(sites, site)
		}
	}
	for page := range uint32(256) {
		n.offsets[page] = uint32(len(n.data))
		low := first | page<<16
		old := s.data[s.offsets[page]:s.offsets[page+1]]
		for len(spans) > 0 && spans[0].last < low {
			spans = spans[1:]
		}
		if len(spans) == 0 || spans[0].first > low|0xffff {
			n.data = append(n.data, old...)
			continue
		}
		keys, sites = keys[:0], sites[:0]
		overlayPage(low, old, spans, add)
		n.data = append(n.data, keys...)
		for _, site := range sites {
			n.data = append(n.data, uint16(site))
		}
	}
	n.offsets[256] = uint32(len(n.data))
	n.data = slices.Clip(slices.Clone(n.data))
	return n
}

// overlayPage applies the spans to the ranges of one page, whose first key is low, and passes the resulting ranges to add.
func overlayPage(low uint32, old []uint16, spans []span[uint32], add func(uint32, Site)) {
	n := len(old) / 2
	next := 0
	for i := range n {
		k, end := low|uint32(old[i]), low|0xffff
		if i+1 < n {
			end = (low | uint32(old[i+1])) - 1
		}
		site := Site(old[n+i])
		for {
			for next < len(spans) && spans[next].last < k {
				next++
			}
			if next == len(spans) || spans[next].first > end {
				add(k, site)
				break
			}
			if spans[next].first > k {
				add(k, site)
			}
			add(max(k, spans[next].first), spans[next].site)
			if spans[next].last >= end {
				break
			}
			k = spans[next].last + 1
		}
	}
}
