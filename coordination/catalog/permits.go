package catalog

import (
	"slices"
	"time"

	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// issuerBasis is what the buckets of customers follow from. They are computed again only when it changes, since that takes a hash
// for each customer and instance.
type issuerBasis struct {
	table       *routing.Table
	bound       quota.CustomerBound
	listChanged uint64
}

// updateIssuer applies a change of the table, the bound or the list of instances to the buckets of customers.
func (c *Core) updateIssuer(now state.Instant) {
	due, ok := c.owners.Due()
	changed := c.listBasis != c.peersChanged
	if changed {
		c.listBasis = c.peersChanged
		c.owners.Update(now, c.sortedPeers())
	}
	if changed || ok && !now.Before(due) {
		if peers := c.owners.Peers(now); !slices.Equal(peers, c.listed) {
			c.listed, c.dirty = peers, true
			c.listChanged++
		}
	}
	basis := issuerBasis{c.table, c.opts.Customers, c.listChanged}
	if c.issuerBasis == basis || c.table == nil {
		return
	}
	c.issuerBasis = basis
	c.issuer.Update(now, basis.bound, c.listed, c.table.Customers)
}

// beginIssuer tells the issuer how long the instance has been listed when the process starts: an earlier process of it has written
// the entry in the first listing. This one registers only when it has a table, which comes with a listing.
func (c *Core) beginIssuer(now state.Instant, ev Listed) {
	if c.joinedMS != 0 || c.opts.StartedMS == 0 {
		return
	}
	c.joinedMS, c.dirty = c.opts.StartedMS, true
	for _, it := range ev.Items {
		if p, ok := it.Fact.(*routing.Peer); ok && p.Name == c.opts.Self && p.JoinedMS > 0 {
			c.joinedMS = min(c.joinedMS, p.JoinedMS)
		}
	}
	c.issuer.Begin(now, time.Duration(c.opts.StartedMS-c.joinedMS)*time.Millisecond, ev.Source == FromListing)
}

// stepIssuer applies an event about permits.
func (c *Core) stepIssuer(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case AskPermits:
		if ev.Apart {
			c.issuer.Hear(now, ev.Ask.From)
		}
		ev.Answer(c.issuer.Grant(now, ev.Away, ev.Ask))
	case HeardApart:
		c.issuer.Hear(now, ev.From)
	case ContactChecked:
		c.issuer.Tick(now, ev.Away)
	case CollectBuckets:
		ev.Reply <- c.issuer.Buckets(now)
	}
}
