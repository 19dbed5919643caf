package standin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/storeapi"
)

// clock is a clock that the test advances.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{t: time.Unix(1000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

// Guards against a store that accepts writes that the platform's store rejects: those at the wrong version, or under a
// lease that does not exist.
func TestCompareAndSwap(t *testing.T) {
	create := storeapi.CASRequest{Key: "a", Value: []byte("1")}
	for name, c := range map[string]struct {
		before []storeapi.CASRequest
		write  storeapi.CASRequest
		ok     bool
		want   storeapi.Entry
	}{
		"create an absent key": {write: create, ok: true, want: storeapi.Entry{Key: "a", Value: []byte("1"), Version: 1}},
		"create an existing key": {
			before: []storeapi.CASRequest{create}, write: storeapi.CASRequest{Key: "a", Value: []byte("2")},
			want: storeapi.Entry{Key: "a", Value: []byte("1"), Version: 1},
		},
		"write at the right version": {
			before: []storeapi.CASRequest{create}, write: storeapi.CASRequest{Key: "a", Value: []byte("2"), Version: 1},
			ok: true, want: storeapi.Entry{Key: "a", Value: []byte("2"), Version: 2},
		},
		"write at a later version": {
			before: []storeapi.CASRequest{create}, write: storeapi.CASRequest{Key: "a", Version: 2},
			want: storeapi.Entry{Key: "a", Value: []byte("1"), Version: 1},
		},
		"write to an absent key": {write: storeapi.CASRequest{Key: "a", Version: 1}, want: storeapi.Entry{Key: "a"}},
		"delete": {
			before: []storeapi.CASRequest{create}, write: storeapi.CASRequest{Key: "a", Version: 1, Delete: true},
			ok: true, want: storeapi.Entry{Key: "a"},
		},
		"write under an unknown lease": {write: storeapi.CASRequest{Key: "a", Lease: 7}, want: storeapi.Entry{Key: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := NewStore(newClock().now)
			for _, b := range c.before {
				g.Expect(s.CAS(b).OK).To(BeTrue())
			}
			r := s.CAS(c.write)
			g.Expect(r.OK).To(Equal(c.ok))
			g.Expect(r.Current).To(Equal(c.want))
			g.Expect(s.Get("a")).To(Equal(c.want))
		})
	}
}

// Guards against keys that outlive their lease, and against a renewal of an expired lease.
func TestLeases(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	s := NewStore(c.now)
	l := s.Lease(storeapi.LeaseRequest{TTLSeconds: 10})
	g.Expect(l.OK).To(BeTrue())
	g.Expect(s.CAS(storeapi.CASRequest{Key: "a", Lease: l.ID}).OK).To(BeTrue())
	c.advance(9 * time.Second)
	g.Expect(s.Lease(storeapi.LeaseRequest{ID: l.ID}).OK).To(BeTrue(), "renewed before it expired")
	c.advance(9 * time.Second)
	g.Expect(s.Get("a").Version).To(Equal(uint64(1)))
	c.advance(time.Second)
	g.Expect(s.Get("a").Version).To(BeZero(), "the lease has expired")
	g.Expect(s.Lease(storeapi.LeaseRequest{ID: l.ID}).OK).To(BeFalse())

	l = s.Lease(storeapi.LeaseRequest{TTLSeconds: 10})
	s.CAS(storeapi.CASRequest{Key: "b", Lease: l.ID})
	s.Lease(storeapi.LeaseRequest{ID: l.ID, Revoke: true})
	g.Expect(s.Get("b").Version).To(BeZero(), "the lease was revoked")
}

// Guards against lists that skip or repeat keys between pages.
func TestListPages(t *testing.T) {
	g := NewWithT(t)
	s := NewStore(newClock().now)
	const keys = maxPageEntries + 10
	for i := range keys {
		s.CAS(storeapi.CASRequest{Key: "k/" + string(rune('a'+i/26)) + string(rune('a'+i%26))})
	}
	s.CAS(storeapi.CASRequest{Key: "other"})
	seen := make(map[string]bool)
	after := ""
	for more := true; more; {
		page := s.List("k/", after)
		for _, e := range page.Entries {
			g.Expect(seen[e.Key]).To(BeFalse())
			g.Expect(e.Key > after).To(BeTrue())
			seen[e.Key], after = true, e.Key
		}
		more = page.More
	}
	g.Expect(seen).To(HaveLen(keys))
}
