// Package blocks maps client addresses to sites.
//
// A Table is immutable: traffic goroutines read it without locks while a new one is built. It holds no pointer per
// block: a block of IPv4 addresses takes 4 bytes, one of IPv6 addresses 10, and the index of the IPv4 addresses 0.3 MB.
package blocks

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// Site is the number of a site, a group of client address blocks that one region serves. NoSite marks addresses that belong
// to none.
type Site uint16

// NoSite is the site of addresses outside all blocks.
const NoSite Site = 0

// Bounds of a table.
const (
	MaxBlocks      = 4 << 20 // max ranges of one address family
	maxV6Bits      = 64      // longer IPv6 prefixes are rejected, because clients change addresses within their /64
	segmentEntries = 256     // entries of a full IPv6 segment; a change copies one segment and the index of segments
)

// ErrTooLarge is returned for a change that would exceed MaxBlocks.
var ErrTooLarge = errors.New("too many client blocks")

// Block assigns a block of addresses to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site // NoSite removes the block
}

// Table maps IPv4 and IPv6 addresses to sites.
type Table struct {
	v4 pages
	v6 ranges
}

// New returns a table without blocks.
func New() *Table {
	return &Table{v4: newPages(), v6: emptyRanges()}
}

// Lookup returns the site of an address. It does not allocate.
func (t *Table) Lookup(a netip.Addr) Site {
	if a.Is4() || a.Is4In6() {
		b := a.As4()
		return t.v4.lookup(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return t.v6.lookup(binary.BigEndian.Uint64(b[:8]))
}

// Len returns the number of ranges of addresses with the same site, over both address families. A range of IPv4 addresses that
// spans several /16 networks counts once for each.
func (t *Table) Len() int { return t.v4.size + t.v6.size }

// Bytes returns the memory that the entries take, in bytes.
func (t *Table) Bytes() int { return t.v4.bytes() + t.v6.bytes() }

// With returns a new table with the changes applied in order: a later block overrides the part of an earlier one that it
// covers. The receiver is not modified and shares unchanged shards and segments with the result. With fails on an invalid
// prefix and on an IPv6 prefix longer than /64, and with ErrTooLarge.
func (t *Table) With(changes []Block) (*Table, error) {
	n := *t
	var v4 []span[uint32]
	var v6 []span[uint64]
	for _, c := range changes {
		p := c.Prefix.Masked()
		switch {
		case !p.IsValid():
			return nil, errors.Errorf("invalid client block %q", c.Prefix)
		case p.Addr().Is4():
			b := p.Addr().As4()
			first := binary.BigEndian.Uint32(b[:])
			v4 = append(v4, span[uint32]{first, first | ^uint32(0)>>p.Bits(), c.Site})
		case p.Bits() > maxV6Bits:
			return nil, errors.Errorf("client block %s is longer than /%d", p, maxV6Bits)
		default:
			b := p.Addr().As16()
			first := binary.BigEndian.Uint64(b[:8])
			v6 = append(v6, span[uint64]{first, first | ^uint64(0)>>p.Bits(), c.Site})
		}
	}
	var err error
	if n.v4, err = n.v4.with(v4); err != nil {
		return nil, err
	}
	if n.v6 = n.v6.with(v6); n.v6.size > MaxBlocks {
		return nil, errors.WithStack(ErrTooLarge)
	}
	return &n, nil
}
