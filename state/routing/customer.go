package routing

import (
	"crypto/sha256"
	"slices"

	"azurebridge/state"
)

// KeyDigest is the SHA-256 digest of a customer's key. Keys themselves are not kept, so that none can reach a log, a dump or
// another instance.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a customer that sends requests with its keys.
type Customer struct {
	Name        state.CustomerName
	Keys        []KeyDigest
	HasPriority bool               // whether Priority takes the place of a route's
	Priority    int                // 0 is the most urgent
	Regions     []state.RegionName // regions that its requests may be sent to; empty means all
	Quota       Quota
}

// Quota bounds the requests of a customer over all instances together.
type Quota struct {
	Rate  float64 // requests/s; 0 for no limit
	Burst float64 // requests in addition to Rate
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// ServedIn reports whether the customer's requests may be sent to a region.
func (c *Customer) ServedIn(region state.RegionName) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, region)
}

// CustomerOf returns the customer that has a key, or nil.
func (t *Table) CustomerOf(key KeyDigest) *Customer { return t.byKey[key] }

// indexKeys builds the data for CustomerOf.
func (t *Table) indexKeys() {
	t.byKey = make(map[KeyDigest]*Customer)
	for i := range t.Customers {
		c := &t.Customers[i]
		for _, key := range c.Keys {
			t.byKey[key] = c
		}
	}
}
