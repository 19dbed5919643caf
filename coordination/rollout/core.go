package rollout

import (
	"math/rand/v2"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// maxRejected bounds the digests remembered as undecodable.
const maxRejected = 64

// Core is the rollout at one instance. Control goroutine only.
type Core struct {
	self     state.Instance
	members  *members
	current  Item
	history  []Item // earlier configurations, oldest first
	transfer *transfer
	opening  *Item // received in full, being decoded
	openedAt state.Instant
	rejected map[Digest]bool
	started  bool // the instances to ask at the start are known and were asked
	offerAt  state.Instant
	turnAt   state.Instant
	turn     int // counts the members of the own region that were offered to
	random   *rand.Rand
	out      []Outbound
	opens    []Item
	Stats    Stats
}

// New returns the rollout of an instance that has no configuration.
func New(self state.Instance) *Core {
	seed := state.RendezvousScore("rollout", string(self.Name))
	random := rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))
	return &Core{
		self: self, members: newMembers(self, nil), rejected: make(map[Digest]bool),
		random: random, turn: int(random.Uint32() >> 1),
	}
}

// Members takes the current view of the fleet.
func (c *Core) Members(now state.Instant, instances []state.Instance) {
	c.members = newMembers(c.self, instances)
	if !c.started && c.current.Revision == 0 {
		c.started = c.askAround() > 0
		c.offerAt = now
	}
}

// Current returns the configuration with the highest revision that was received and decoded.
func (c *Core) Current() Item { return c.current }

// Reader reports whether this instance is one of the two of its region that watch the store.
func (c *Core) Reader() bool { return c.members.reader() }

// Readers returns the instances of the own region that watch the store.
func (c *Core) Readers() []state.InstanceName { return c.members.readers(c.self.Region) }

// Receiving returns the revision that is being received or decoded, or 0.
func (c *Core) Receiving() state.Revision {
	switch {
	case c.transfer != nil:
		return c.transfer.revision
	case c.opening != nil:
		return c.opening.Revision
	}
	return 0
}

// Recall returns the configuration of a revision if it is still kept.
func (c *Core) Recall(r state.Revision) (Item, bool) {
	if r == c.current.Revision && r > 0 {
		return c.current, true
	}
	for _, it := range c.history {
		if it.Revision == r {
			return it, true
		}
	}
	return Item{}, false
}

// Adopt takes a decoded configuration: one accepted by this instance, read from the store, or received from an instance.
// It returns false when the revision is not higher than the current one. With accepted set, this instance carried the
// apply and tells the readers of all regions.
func (c *Core) Adopt(now state.Instant, it Item, accepted bool) bool {
	if c.opening != nil && c.opening.Revision <= it.Revision {
		c.opening = nil
	}
	if it.Revision <= c.current.Revision {
		c.Stats.OldOffered++
		return false
	}
	if c.current.Revision > 0 {
		c.keep(c.current)
	}
	c.current = it
	if c.transfer != nil && c.transfer.revision <= it.Revision {
		c.transfer = nil
	}
	if accepted {
		c.spread(c.members.allReaders())
	}
	if c.Reader() {
		c.spread(c.members.relayed())
	}
	if c.Reader() && !accepted {
		c.offerOthers(c.Readers())
	}
	return true
}

// Reject tells that a configuration could not be decoded.
func (c *Core) Reject(d Digest) {
	c.Stats.Rejected++
	if len(c.rejected) >= maxRejected {
		clear(c.rejected)
	}
	c.rejected[d] = true
	if c.opening != nil && c.opening.Digest == d {
		c.opening = nil
	}
}

// keep stores an earlier configuration within the bounds of the history.
func (c *Core) keep(it Item) {
	c.history = append(c.history, it)
	size := 0
	for _, h := range c.history {
		size += len(h.Data)
	}
	for len(c.history) > MaxHistory || size > MaxHistoryBytes {
		size -= len(c.history[0].Data)
		c.history[0] = Item{}
		c.history = c.history[1:]
	}
}

// spread sends the current configuration when it fits into one message, and an offer otherwise.
func (c *Core) spread(to []state.InstanceName) {
	for _, name := range to {
		switch {
		case name == c.self.Name:
		case parts(len(c.current.Data)) == 1:
			c.push(name, 0)
		default:
			c.offer(name)
		}
	}
}

// offerOthers tells instances of the current revision. The other reader of the region needs it only when the instance
// that carried the apply failed before it reached both readers.
func (c *Core) offerOthers(names []state.InstanceName) {
	for _, name := range names {
		if name != c.self.Name {
			c.offer(name)
		}
	}
}

// open hands a completely received configuration out for decoding.
func (c *Core) open(now state.Instant, it Item) {
	c.opening, c.openedAt = &it, now
	c.opens = append(c.opens, it)
}

// Tick sends what is due.
func (c *Core) Tick(now state.Instant) {
	if t := c.transfer; t != nil && now.Sub(t.moved) >= PullTimeout {
		c.retry(now, t)
	}
	if c.opening != nil && now.Sub(c.openedAt) >= OpenTimeout {
		c.open(now, *c.opening)
	}
	if now.Sub(c.offerAt) < OfferInterval {
		return
	}
	c.offerAt = now
	if c.current.Revision == 0 {
		c.askAround()
		return
	}
	c.offerSome(now)
}

// offerSome offers the current revision on a few links, which repairs lost messages: each second to a reader of the own
// region, and each TurnInterval to the next member of it. The members include those that seem dead: one may have restarted
// while the list of instances is not served, and then learns of its peers only through such an offer. Readers also offer
// to a reader of another region each second, the others only each FarTurns turns: most such offers need a new connection,
// whose handshake costs both sides far more than the offer.
func (c *Core) offerSome(now state.Instant) {
	c.offerOne(c.members.readers(c.self.Region))
	far := c.Reader()
	if all := c.members.all; now.Sub(c.turnAt) >= TurnInterval {
		c.turnAt = now
		c.turn++
		far = far || c.turn%FarTurns == 0
		if len(all) > 0 {
			c.introduce(all[c.turn%len(all)])
		}
	}
	if n := len(c.members.regions); far && n > 1 {
		r := c.members.regions[c.random.IntN(n)]
		if r != c.self.Region {
			c.offerOne(c.members.readers(r))
		}
	}
}

// offerOne offers to one of the instances at random.
func (c *Core) offerOne(names []state.InstanceName) {
	if len(names) == 0 {
		return
	}
	if name := names[c.random.IntN(len(names))]; name != c.self.Name {
		c.introduce(name)
	}
}

// introduce offers the current revision together with who this instance is.
func (c *Core) introduce(to state.InstanceName) {
	o, self := c.currentOffer(), c.self
	o.Sender = &self
	c.send(to, o)
	c.Stats.Offered++
}

// askAround sends an empty offer to up to StartPeers instances of each region, which answer with what they have. It
// returns how many were asked.
func (c *Core) askAround() int {
	n := 0
	for _, r := range c.members.regions {
		names := c.members.live[r]
		start := 0
		if len(names) > 0 {
			start = c.random.IntN(len(names))
		}
		asked := 0
		for i := 0; i < len(names) && asked < StartPeers; i++ {
			if name := names[(start+i)%len(names)]; name != c.self.Name {
				c.offer(name)
				asked++
			}
		}
		n += asked
	}
	return n
}

func (c *Core) offer(to state.InstanceName) {
	c.send(to, c.currentOffer())
	c.Stats.Offered++
}

func (c *Core) currentOffer() *message.ConfigOffer {
	return &message.ConfigOffer{Revision: c.current.Revision, Digest: c.current.Digest, Size: len(c.current.Data)}
}

func (c *Core) send(to state.InstanceName, b message.Body) { c.out = append(c.out, Outbound{to, b}) }

// TakeOutbound returns the messages since the last call.
func (c *Core) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}

// TakeOpens returns the configurations to decode since the last call. Each is answered by Adopt or Reject.
func (c *Core) TakeOpens() []Item {
	opens := c.opens
	c.opens = nil
	return opens
}
