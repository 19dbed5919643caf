package catalog

import (
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// issuerBasis is what the buckets of customers follow from. They are computed again only when it changes, since that takes a hash
// for each customer and instance.
type issuerBasis struct {
	table        *routing.Table
	bound        quota.CustomerBound
	peersChanged uint64
}

// updateIssuer applies a change of the table, the bound or the list of instances to the buckets of customers.
func (c *Core) updateIssuer(now state.Instant) {
	basis := issuerBasis{c.table, c.opts.Customers, c.peersChanged}
	if c.issuerBasis == basis || c.table == nil {
		return
	}
	c.issuerBasis = basis
	c.issuer.Update(now, basis.bound, c.sortedPeers(), c.table.Customers)
}

// askPermits answers a request for permits.
func (c *Core) askPermits(now state.Instant, ev AskPermits) {
	if ev.Apart {
		c.issuer.Hear(now, ev.Ask.From)
	}
	ev.Answer(c.issuer.Grant(now, ev.Away, ev.Ask))
}
