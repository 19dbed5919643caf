package catalog

import (
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// departureRetention is how long a server that has left is remembered: a delayed write of its entry may reach the store
// seconds later.
const departureRetention = 30 * time.Second

// maxDepartures bounds the servers that are remembered. The oldest one is dropped first.
const maxDepartures = 4096

// departure identifies the process of a server that has left, with its last heartbeat.
type departure struct {
	born, heartbeat int64
	address         string
	gauge           *Gauge
	at              state.Instant
}

// matches reports whether an entry is of the same process. Without the time of its start, the address decides.
func (d *departure) matches(b *routing.Backend) bool {
	return d.born == b.Born && d.address == b.Address
}

// expired reports whether the departure can be forgotten: delayed writes have arrived, the pause that the server asked for is
// over, and it has not said that it leaves.
func (d *departure) expired(now state.Instant) bool {
	return !now.Before(d.at.Add(departureRetention)) && !d.gauge.Pause.Active(now) && !d.gauge.Leaving()
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

// gaugeOf returns the gauge of a server that is listed anew: the earlier one when its process was listed before, since what
// that process has said of itself still holds.
func (c *Core) gaugeOf(key string, b *routing.Backend) *Gauge {
	if d, ok := c.departed[key]; ok && d.matches(b) {
		return d.gauge
	}
	return &Gauge{}
}

// removeServer removes a server and remembers its process for departureRetention at least.
func (c *Core) removeServer(now state.Instant, key string, m *trackedServer) {
	c.logFact("backend server removed", "server", string(m.Name), "service", string(m.Service))
	c.serverEnded(now, &m.Backend, m.gauge)
	delete(c.servers, key)
	c.releaseAddress(key, m)
	c.forgetDepartures(now)
	c.departed[key] = departure{born: m.Born, heartbeat: m.Beat, address: m.Address, gauge: m.gauge, at: now}
}

// forgetDepartures removes the expired departures, and the oldest one when there are maxDepartures.
func (c *Core) forgetDepartures(now state.Instant) {
	var oldest string
	for key, d := range c.departed {
		if d.expired(now) {
			delete(c.departed, key)
		} else if oldest == "" || d.at.Before(c.departed[oldest].at) {
			oldest = key
		}
	}
	if len(c.departed) >= maxDepartures {
		delete(c.departed, oldest)
	}
}
