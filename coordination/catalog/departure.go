package catalog

import (
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// departureMemory is how long a server that has gone is remembered: a write of its that was held up may be carried out
// seconds later.
const departureMemory = 30 * time.Second

// departure is the last heartbeat of a server that has gone.
type departure struct {
	born, beat int64
	at         state.Instant
}

// late reports whether an entry is older than one that was seen of the same process: it was written late, and what it says
// is out of date.
func (c *Core) late(key string, b *routing.Backend) bool {
	if b.Born == 0 {
		return false // beats of different processes cannot be compared
	}
	if m := c.servers[key]; m != nil {
		return b.Born == m.Born && b.Beat < m.Beat
	}
	d, ok := c.departed[key]
	return ok && b.Born == d.born && b.Beat < d.beat
}

// depart removes a server and remembers it for a while.
func (c *Core) depart(now state.Instant, key string, m *member) {
	c.noteFact("backend server gone", "server", string(m.Name), "service", string(m.Service))
	delete(c.servers, key)
	for old, d := range c.departed {
		if !now.Before(d.at.Add(departureMemory)) {
			delete(c.departed, old)
		}
	}
	c.departed[key] = departure{born: m.Born, beat: m.Beat, at: now}
}
