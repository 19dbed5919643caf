package catalog

import (
	"azurebridge/state"
	"azurebridge/state/routing"
)

// list applies a listing unless it is outdated.
func (c *Core) list(now state.Instant, ev Listed) {
	restored := !c.revision.IsZero() && c.revision.Era < ev.Revision.Era
	if !c.advance(ev.Source, c.revision, ev.Revision) {
		return
	}
	c.beginIssuer(now, ev)
	if restored {
		c.applyRestored(now, ev.Items)
		return
	}
	c.applyListing(now, ev.Items)
}

// applyListing applies a complete listing: it removes the servers, evacuations and peers that the listing lacks, unless they are
// retained.
func (c *Core) applyListing(now state.Instant, items []Item) {
	var removed []Item
	for _, key := range c.missingKeys(items) {
		if _, ok := c.retained[key]; !ok {
			removed = append(removed, Item{Key: key})
		}
	}
	c.applyChanges(now, append(removed, items...))
}

// missingKeys returns the keys of known servers, evacuations, peers and the fleet key that the items lack.
func (c *Core) missingKeys(items []Item) []string {
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = it.Fact != nil
	}
	var out []string
	collect := func(key string) {
		if !present[key] {
			out = append(out, key)
		}
	}
	for key := range c.servers {
		collect(key)
	}
	for key := range c.evacuated {
		collect(key)
	}
	for key := range c.peers {
		collect(key)
	}
	if c.fleetKey != nil {
		collect(c.fleetKeyKey)
	}
	return out
}

// applyRestored applies a listing of a store that has returned from a copy. Operators, backend servers and instances write again
// what the copy lacks: what is known from the lost history stays in use until then, for OutageGrace at most. Entries of servers
// that are older than what is known are ignored. Routing tables are ordered by their versions in any case.
func (c *Core) applyRestored(now state.Instant, items []Item) {
	var changes []Item
	missing, outdated := c.missingKeys(items), 0
	for _, key := range missing {
		if m := c.servers[key]; m != nil && m.Draining {
			changes = append(changes, Item{Key: key}) // it leaves
			continue
		}
		c.retained[key] = now.Add(OutageGrace)
	}
	for _, it := range items {
		if b, ok := it.Fact.(*routing.Backend); ok && c.supersededInCopy(it.Key, b) {
			outdated++
			delete(c.retained, it.Key) // this copy has it
			continue
		}
		changes = append(changes, it)
	}
	c.log("store returned from a copy", "revision", c.revision.String(), "missing", len(missing), "outdated", outdated)
	c.applyChanges(now, changes)
}

// supersededInCopy reports whether a server's entry in a copy of the store is older than what is known of the server: of an earlier
// process, or from before it began to drain or left.
func (c *Core) supersededInCopy(key string, b *routing.Backend) bool {
	if b.Born == 0 {
		return false // neither processes nor heartbeats can be compared
	}
	if m := c.servers[key]; m != nil {
		return b.Born < m.Born || b.Born == m.Born && (b.Beat < m.Beat || b.Beat == m.Beat && m.Draining && !b.Draining)
	}
	d, ok := c.departed[key]
	return ok && (b.Born < d.born || b.Born == d.born && b.Beat <= d.heartbeat)
}

// expireRetained removes the keys that a copy of the store lacked and that nobody has written again in time.
func (c *Core) expireRetained(now state.Instant) {
	if !c.contact.mayRemove() {
		return
	}
	for key, until := range c.retained {
		if !now.Before(until) {
			delete(c.retained, key)
			c.removeKey(now, key, 0)
			c.dirty = true
		}
	}
}
