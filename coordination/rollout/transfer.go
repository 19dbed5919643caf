package rollout

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// transfer is a configuration that is being received in parts.
type transfer struct {
	revision state.Revision
	digest   Digest
	size     int
	parts    [][]byte // nil for a missing part
	got      int
	sources  []state.InstanceName // that offered it; the first one is asked
	asked    int                  // first part that has not been asked for since the last timeout
	moved    state.Instant        // when the last new part arrived or the parts were asked for again
	tries    int
}

// addSource remembers another instance that has the configuration.
func (t *transfer) addSource(name state.InstanceName) {
	for _, s := range t.sources {
		if s == name {
			return
		}
	}
	if len(t.sources) < MaxSources {
		t.sources = append(t.sources, name)
	}
}

// missing returns the first missing part at or after n.
func (t *transfer) missing(n int) int {
	for n < len(t.parts) && t.parts[n] != nil {
		n++
	}
	return n
}

// start begins to receive a revision, in place of a lower one that has not been received in full.
func (c *Core) start(now state.Instant, r state.Revision, d Digest, size int) *transfer {
	c.transfer = &transfer{revision: r, digest: d, size: size, parts: make([][]byte, parts(size)), moved: now}
	return c.transfer
}

// ask sends a pull for the next parts that have not been asked for.
func (c *Core) ask(t *transfer) {
	t.asked = t.missing(t.asked)
	if t.asked >= len(t.parts) || len(t.sources) == 0 {
		return
	}
	n := min(message.MaxConfigWindow, len(t.parts)-t.asked)
	c.send(t.sources[0], &message.ConfigPull{Have: c.current.Revision, Revision: t.revision, Digest: t.digest, Part: t.asked, Count: n})
	c.Stats.Pulled++
	t.asked += n
}

// retry asks the next source for the missing parts, and gives the transfer up after MaxPullTries.
func (c *Core) retry(now state.Instant, t *transfer) {
	if t.tries++; t.tries > MaxPullTries || len(t.sources) == 0 {
		c.Stats.GivenUp++
		c.transfer = nil
		return
	}
	t.moved, t.asked = now, 0
	t.sources = append(t.sources[1:], t.sources[0])
	c.ask(t)
}

// Push takes one part of a configuration.
func (c *Core) Push(now state.Instant, from state.InstanceName, m *message.ConfigPush) {
	switch {
	case m.Size <= 0 || m.Size > MaxData || m.Part < 0 || m.Part >= parts(m.Size) ||
		len(m.Data) != min(message.MaxConfigPart, m.Size-m.Part*message.MaxConfigPart):
		c.Stats.Refused++
		return
	case !c.wanted(m.Revision, m.Digest):
		c.Stats.Useless++
		return
	}
	t := c.transfer
	if t == nil || m.Revision > t.revision {
		t = c.start(now, m.Revision, m.Digest, m.Size)
	}
	if m.Revision < t.revision || m.Digest != t.digest || m.Size != t.size || t.parts[m.Part] != nil {
		c.Stats.Useless++
		return
	}
	t.addSource(from)
	t.parts[m.Part] = m.Data
	t.got++
	t.moved, t.tries = now, 0
	c.Stats.Parts++
	if t.got == len(t.parts) {
		c.complete(now, t)
		return
	}
	if t.missing(0) >= t.asked || m.Part == t.asked-1 {
		c.ask(t)
	}
}

// complete checks the digest of a received configuration and hands it out for decoding.
func (c *Core) complete(now state.Instant, t *transfer) {
	c.transfer = nil
	data := make([]byte, 0, t.size)
	for _, p := range t.parts {
		data = append(data, p...)
	}
	if Sum(data) != t.digest {
		c.Stats.Corrupt++
		return
	}
	c.Stats.Completed++
	c.open(now, Item{t.revision, t.digest, data})
}

// Pull answers with the parts that were asked for, or with an offer when this instance holds another revision.
func (c *Core) Pull(from state.InstanceName, m *message.ConfigPull) {
	it := c.current
	if m.Revision != it.Revision || m.Digest != it.Digest || it.Revision == 0 {
		c.offer(from)
		return
	}
	if m.Part < 0 || m.Count < 0 {
		c.Stats.Refused++
		return
	}
	for n := m.Part; n < min(parts(len(it.Data)), m.Part+min(m.Count, message.MaxConfigWindow)); n++ {
		c.push(from, n)
	}
}

func (c *Core) push(to state.InstanceName, n int) {
	it := c.current
	c.send(to, &message.ConfigPush{Revision: it.Revision, Digest: it.Digest, Size: len(it.Data), Part: n, Data: part(it.Data, n)})
	c.Stats.Pushed++
}

// Offer compares revisions with another instance: the one with the lower revision pulls.
func (c *Core) Offer(now state.Instant, from state.InstanceName, m *message.ConfigOffer) {
	switch {
	case m.Revision < c.current.Revision:
		c.offer(from)
	case m.Size <= 0 && m.Revision > 0 || m.Size > MaxData:
		c.Stats.Refused++
	case c.wanted(m.Revision, m.Digest):
		t := c.transfer
		if t == nil || m.Revision > t.revision {
			t = c.start(now, m.Revision, m.Digest, m.Size)
		}
		if m.Revision == t.revision && m.Digest == t.digest {
			first := len(t.sources) == 0
			t.addSource(from)
			if first {
				c.ask(t)
			}
		}
	}
}

// wanted reports whether a configuration would raise the revision and is not already here.
func (c *Core) wanted(r state.Revision, d Digest) bool {
	if r <= c.current.Revision || c.rejected[d] {
		return false
	}
	return c.opening == nil || r > c.opening.Revision
}
