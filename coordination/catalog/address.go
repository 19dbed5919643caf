package catalog

import (
	"azurebridge/state"
	"azurebridge/state/routing"
)

// takeAddress records that a server's address belongs to it. A server that had the address before has ended, although its entry
// may remain until its lease expires; it is removed. takeAddress returns false when the entry is that of such a server: another
// one, which started later, has the address.
func (c *Core) takeAddress(now state.Instant, key string, b *routing.Backend) bool {
	other := c.byAddress[b.Address]
	if m := c.servers[other]; m != nil && other != key && m.Address == b.Address {
		if b.Born < m.Born {
			c.logFact("backend server ignored: another one has its address", "server", string(b.Name), "address", b.Address, "other", string(m.Name))
			return false
		}
		if b.Born > m.Born {
			c.removeServer(now, other, m)
		}
	}
	c.byAddress[b.Address] = key
	return true
}

// releaseAddress forgets that a server has its address, unless another one has taken it over.
func (c *Core) releaseAddress(key string, m *trackedServer) {
	if c.byAddress[m.Address] == key {
		delete(c.byAddress, m.Address)
	}
}
