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

// shard holds 256 pages. Page i is data[from[i]:from[i+1]]: the starts of its ranges in order, of which the first is 0,
// then as many sites. It is never changed once it is part of a table.
type shard struct {
	from [257]uint32
	data []uint16
}

// emptyShard has one range without site in each page. All tables share it.
var emptyShard = func() *shard {
	s := &shard{data: make([]uint16, 2*256)}
	for i := range s.from {
		s.from[i] = uint32(2 * i)
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
	d := s.data[s.from[page]:s.from[page+1]]
	n := len(d) / 2
	return Site(d[n+last(d[:n], uint16(k))])
}

// bytes returns the memory of the pages.
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

// with carries out the changes, which may overlap: later ones override earlier ones.
func (p pages) with(changes []span[uint32]) (pages, error) {
	flat := flatten(changes)
	for len(flat) > 0 {
		at := flat[0].first >> 24
		first, end := at<<24, at<<24|0xffffff
		var here []span[uint32]
		for len(flat) > 0 && flat[0].first <= end {
			s := flat[0]
			here = append(here, span[uint32]{max(first, s.first), min(end, s.last), s.site})
			if s.last > end {
				flat[0].first = end + 1
				break
			}
			flat = flat[1:]
		}
		old := p.shards[at]
		next := old.overlay(first, here)
		p.size += (len(next.data) - len(old.data)) / 2
		p.shards[at] = next
		if p.size > MaxBlocks {
			return pages{}, errors.WithStack(ErrTooLarge)
		}
	}
	return p, nil
}

// overlay lays disjoint spans in order over the pages of a shard that starts at the key first.
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
		n.from[page] = uint32(len(n.data))
		low := first | page<<16
		old := s.data[s.from[page]:s.from[page+1]]
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
	n.from[256] = uint32(len(n.data))
	n.data = slices.Clip(slices.Clone(n.data))
	return n
}

// overlayPage passes the ranges of one page, which starts at low, to add after the spans are laid over them.
func overlayPage(low uint32, old []uint16, spans []span[uint32], add func(uint32, Site)) {
	n := len(old) / 2
	at := 0
	for i := range n {
		k, end := low|uint32(old[i]), low|0xffff
		if i+1 < n {
			end = (low | uint32(old[i+1])) - 1
		}
		site := Site(old[n+i])
		for {
			for at < len(spans) && spans[at].last < k {
				at++
			}
			if at == len(spans) || spans[at].first > end {
				add(k, site)
				break
			}
			if spans[at].first > k {
				add(k, site)
			}
			add(max(k, spans[at].first), spans[at].site)
			if spans[at].last >= end {
				break
			}
			k = spans[at].last + 1
		}
	}
}
