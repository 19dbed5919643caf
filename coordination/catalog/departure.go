package catalog

import (
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// departureRetention is how long a server that has left is remembered: a delayed write of its entry may reach the store
// seconds later.
const departureRetention = 30 * time.Second

// departure identifies the last heartbeat of a server that has left.
type departure struct {
	born, heartbeat int64
	at              state.Instant
}

// outdated reports whether an entry is older than one already seen from the same process, because its write was delayed.
func (c *Core) outdated(key string, b *routing.Backend) bool {
	if b.Born == 0 {
		return false // heartbeat numbers of different processes are not comparable
	}
	if m := c.servers[key]; m != nil {
		return b.Born == m.Born && b.Beat < m.Beat
	}
	d, ok := c.departed[key]
	return ok && b.Born == d.born && b.Beat < d.heartbeat
}

// removeServer removes a server and remembers its last heartbeat for departureRetention.
func (c *Core) removeServer(now state.Instant, key string, m *trackedServer) {
	c.logFact("backend server removed", "server", string(m.Name), "service", string(m.Service))
	delete(c.servers, key)
	for old, d := range c.departed {
		if !now.Before(d.at.Add(departureRetention)) {
			delete(c.departed, old)
		}
	}
	c.departed[key] = departure{born: m.Born, heartbeat: m.Beat, at: now}
}
