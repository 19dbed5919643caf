package catalog

import (
	"time"

	"azurebridge/state"
)

// Ejection of failing backend servers.
const (
	failuresToEject     = 3               // failures in a row; a success in between halves the count
	firstEjection       = 1 * time.Second // doubles with each further ejection in a row
	maxEjection         = 8 * time.Second
	unreachableEjection = 500 * time.Millisecond // first ejection of a server that accepts no connection
)

// health counts the failures of one backend server as this instance sees them.
type health struct {
	failures     float64 // recent failures; each success halves the count
	ejections    int     // in a row
	ejectedUntil state.Instant
}

// observe applies the outcome of an exchange to the server's health.
func (c *Core) observe(now state.Instant, o Observed) {
	m := c.findServer(o.Server)
	if m == nil {
		return
	}
	h := &m.health
	switch o.Outcome {
	case Answered:
		h.failures /= 2
		if h.failures < 0.5 && now.Sub(h.ejectedUntil) > 0 {
			h.ejections = 0
		}
	case Refused:
		return
	case Failed:
		h.failures++
	case Replaced:
		// The address belongs to another server: this one will not return, whatever its entry says.
		c.eject(now, m, maxEjection, o.Outcome)
	case Unreachable:
		// The server may be restarting and return cold.
		m.assumedColdUntil = max(m.assumedColdUntil, now.Add(AssumedColdTime))
		c.eject(now, m, unreachableEjection<<min(h.ejections, 4), o.Outcome)
	case Broken:
		h.failures++
	}
	if h.failures >= failuresToEject {
		h.failures = 0
		c.eject(now, m, firstEjection<<min(h.ejections, 3), o.Outcome)
	}
}

func (c *Core) eject(now state.Instant, m *trackedServer, d time.Duration, why Outcome) {
	if now.Before(m.health.ejectedUntil) {
		return
	}
	m.health.ejections++
	m.health.ejectedUntil = now.Add(min(d, maxEjection))
	c.log("backend server ejected", "server", string(m.Name), "why", why.String(), "ms", d.Milliseconds())
}

func (c *Core) findServer(name state.BackendName) *trackedServer {
	for _, m := range c.servers {
		if m.Name == name {
			return m
		}
	}
	return nil
}
