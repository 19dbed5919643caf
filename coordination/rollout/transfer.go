package rollout

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// transfer is a configuration that is being received in parts.
type transfer struct {
	revision   state.Revision
	digest     Digest
	size       int
	parts      [][]byte             // nil for a missing part
	received   int                  // number of parts
	sources    []state.InstanceName // that offered or pushed it; requests go to the first one
	nextPart   int                  // first part that has not been requested since the last timeout
	progressAt state.Instant        // when the last new part arrived or the missing parts were requested again
	retries    int                  // retries without a new part
}

// addSource adds an instance that has the configuration, up to MaxSources.
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

// startTransfer begins to receive a revision, in place of an unfinished transfer of a lower one.
func (c *Core) startTransfer(now state.Instant, r state.Revision, d Digest, size int) *transfer {
	c.transfer = &transfer{revision: r, digest: d, size: size, parts: make([][]byte, partCount(size)), progressAt: now}
	return c.transfer
}

// requestParts sends a pull for the next missing parts that have not been requested.
func (c *Core) requestParts(t *transfer) {
	t.nextPart = t.missing(t.nextPart)
	if t.nextPart >= len(t.parts) || len(t.sources) == 0 {
		return
	}
	n := min(message.MaxConfigWindow, len(t.parts)-t.nextPart)
	c.send(t.sources[0], &message.ConfigPull{Have: c.current.Revision, Revision: t.revision, Digest: t.digest, Part: t.nextPart, Count: n})
	c.Stats.Pulled++
	t.nextPart += n
}

// retry requests the missing parts from the next source, and aborts the transfer after MaxPullTries.
func (c *Core) retry(now state.Instant, t *transfer) {
	if t.retries++; t.retries > MaxPullTries || len(t.sources) == 0 {
		c.Stats.GivenUp++
		c.transfer = nil
		return
	}
	t.progressAt, t.nextPart = now, 0
	t.sources = append(t.sources[1:], t.sources[0])
	c.requestParts(t)
}

// Push handles one part of a configuration.
func (c *Core) Push(now state.Instant, from state.InstanceName, m *message.ConfigPush) {
	switch {
	case m.Size <= 0 || m.Size > MaxData || m.Part < 0 || m.Part >= partCount(m.Size) ||
		len(m.Data) != min(message.MaxConfigPart, m.Size-m.Part*message.MaxConfigPart):
		c.Stats.Refused++
		return
	case !c.wanted(m.Revision, m.Digest):
		c.Stats.Useless++
		return
	}
	t := c.transfer
	if t == nil || m.Revision > t.revision {
		t = c.startTransfer(now, m.Revision, m.Digest, m.Size)
	}
	if m.Revision < t.revision || m.Digest != t.digest || m.Size != t.size || t.parts[m.Part] != nil {
		c.Stats.Useless++
		return
	}
	t.addSource(from)
	t.parts[m.Part] = m.Data
	t.received++
	t.progressAt, t.retries = now, 0
	c.Stats.Parts++
	if t.received == len(t.parts) {
		c.complete(now, t)
		return
	}
	if t.missing(0) >= t.nextPart || m.Part == t.nextPart-1 {
		c.requestParts(t)
	}
}

// complete checks the digest of a received configuration and queues it for decoding.
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
	c.startDecode(now, Item{t.revision, t.digest, data})
}

// Pull answers with the requested parts, or with an offer if this instance has another revision.
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
	for n := m.Part; n < min(partCount(len(it.Data)), m.Part+min(m.Count, message.MaxConfigWindow)); n++ {
		c.push(from, n)
	}
}

func (c *Core) push(to state.InstanceName, n int) {
	it := c.current
	c.send(to, &message.ConfigPush{Revision: it.Revision, Digest: it.Digest, Size: len(it.Data), Part: n, Data: part(it.Data, n)})
	c.Stats.Pushed++
}

// Offer handles an offer of another instance. The instance with the lower revision pulls.
func (c *Core) Offer(now state.Instant, from state.InstanceName, m *message.ConfigOffer) {
	switch {
	case m.Revision < c.current.Revision:
		c.offer(from)
	case m.Size <= 0 && m.Revision > 0 || m.Size > MaxData:
		c.Stats.Refused++
	case c.wanted(m.Revision, m.Digest):
		t := c.transfer
		if t == nil || m.Revision > t.revision {
			t = c.startTransfer(now, m.Revision, m.Digest, m.Size)
		}
		if m.Revision == t.revision && m.Digest == t.digest {
			first := len(t.sources) == 0
			t.addSource(from)
			if first {
				c.requestParts(t)
			}
		}
	}
}

// wanted reports whether a configuration has a higher revision than the current one and the one being decoded, and has
// not been rejected.
func (c *Core) wanted(r state.Revision, d Digest) bool {
	if r <= c.current.Revision || c.rejected[d] {
		return false
	}
	return c.decoding == nil || r > c.decoding.Revision
}
