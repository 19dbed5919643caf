package rollout

import (
	"math/rand/v2"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// maxRejected bounds the remembered digests of undecodable configurations.
const maxRejected = 64

// Core runs the rollout at one instance. Control goroutine only.
type Core struct {
	self       state.Instance
	members    *members
	current    Item
	history    []Item // earlier configurations, oldest first
	transfer   *transfer
	decoding   *Item // received in full, being decoded
	decodeAt   state.Instant
	rejected   map[Digest]bool
	askedPeers bool          // peers have been asked for their configuration after the start
	offerAt    state.Instant // last periodic offers
	turnAt     state.Instant // when turn last changed
	turn       int           // counts the round-robin offers to members of the own region
	random     *rand.Rand
	out        []Outbound
	toDecode   []Item
	Stats      Stats
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

// SetInstances sets the instances of the fleet with their current status.
func (c *Core) SetInstances(now state.Instant, instances []state.Instance) {
	c.members = newMembers(c.self, instances)
	if !c.askedPeers && c.current.Revision == 0 {
		c.askedPeers = c.askPeers() > 0
		c.offerAt = now
	}
}

// Current returns the configuration with the highest revision that was received and decoded.
func (c *Core) Current() Item { return c.current }

// Reader reports whether this instance is a reader: it watches the store and sends changes to other instances of its
// region.
func (c *Core) Reader() bool { return c.members.reader() }

// Readers returns the readers of the own region.
func (c *Core) Readers() []state.InstanceName { return c.members.readers(c.self.Region) }

// Receiving returns the revision that is being received or decoded, or 0.
func (c *Core) Receiving() state.Revision {
	switch {
	case c.transfer != nil:
		return c.transfer.revision
	case c.decoding != nil:
		return c.decoding.Revision
	}
	return 0
}

// FindRevision returns the configuration of a revision if it is the current one or still in the history.
func (c *Core) FindRevision(r state.Revision) (Item, bool) {
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

// Adopt makes a decoded configuration the current one. It returns false if the revision is not higher than the current
// one. Accepted says that this instance itself accepted the configuration, rather than reading it from the store or
// receiving it from another instance; it then sends the configuration to the readers of all regions.
func (c *Core) Adopt(now state.Instant, it Item, accepted bool) bool {
	if c.decoding != nil && c.decoding.Revision <= it.Revision {
		c.decoding = nil
	}
	if it.Revision <= c.current.Revision {
		c.Stats.OldOffered++
		return false
	}
	if c.current.Revision > 0 {
		c.addHistory(c.current)
	}
	c.current = it
	if c.transfer != nil && c.transfer.revision <= it.Revision {
		c.transfer = nil
	}
	if accepted {
		c.distribute(c.members.allReaders())
	}
	if c.Reader() {
		c.distribute(c.members.relayTargets())
	}
	if c.Reader() && !accepted {
		c.offerOthers(c.Readers())
	}
	return true
}

// Reject records that a configuration could not be decoded.
func (c *Core) Reject(d Digest) {
	c.Stats.Rejected++
	if len(c.rejected) >= maxRejected {
		clear(c.rejected)
	}
	c.rejected[d] = true
	if c.decoding != nil && c.decoding.Digest == d {
		c.decoding = nil
	}
}

// addHistory retains an earlier configuration within the bounds of the history.
func (c *Core) addHistory(it Item) {
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

// distribute sends the current configuration if it fits into one message, and an offer otherwise.
func (c *Core) distribute(to []state.InstanceName) {
	for _, name := range to {
		switch {
		case name == c.self.Name:
		case partCount(len(c.current.Data)) == 1:
			c.push(name, 0)
		default:
			c.offer(name)
		}
	}
}

// offerOthers offers the current revision to instances other than this one. The other reader of the region needs the
// offer only if the instance that accepted the configuration failed before it reached both readers.
func (c *Core) offerOthers(names []state.InstanceName) {
	for _, name := range names {
		if name != c.self.Name {
			c.offer(name)
		}
	}
}

// startDecode queues a completely received configuration for decoding.
func (c *Core) startDecode(now state.Instant, it Item) {
	c.decoding, c.decodeAt = &it, now
	c.toDecode = append(c.toDecode, it)
}

// Tick retries transfers and decodes that have timed out, and sends the periodic offers.
func (c *Core) Tick(now state.Instant) {
	if t := c.transfer; t != nil && now.Sub(t.progressAt) >= PullTimeout {
		c.retry(now, t)
	}
	if c.decoding != nil && now.Sub(c.decodeAt) >= DecodeTimeout {
		c.startDecode(now, *c.decoding)
	}
	if now.Sub(c.offerAt) < OfferInterval {
		return
	}
	c.offerAt = now
	if c.current.Revision == 0 {
		c.askPeers()
		return
	}
	c.offerSome(now)
}

// offerSome offers the current revision to a few instances, to make up for lost messages: each second to a reader of the
// own region, and each TurnInterval to the next member of the region. The members include those that seem dead: one may
// have restarted while the list of instances is not served, and then learns of its peers only from such an offer. Readers
// also offer to a reader of another region each second, other instances only each RemoteTurns turns: most such offers
// need a new connection, whose handshake costs both sides far more than the offer.
func (c *Core) offerSome(now state.Instant) {
	c.offerOne(c.members.readers(c.self.Region))
	remote := c.Reader()
	if peers := c.members.peers; now.Sub(c.turnAt) >= TurnInterval {
		c.turnAt = now
		c.turn++
		remote = remote || c.turn%RemoteTurns == 0
		if len(peers) > 0 {
			c.offerWithSender(peers[c.turn%len(peers)])
		}
	}
	if n := len(c.members.regions); remote && n > 1 {
		r := c.members.regions[c.random.IntN(n)]
		if r != c.self.Region {
			c.offerOne(c.members.readers(r))
		}
	}
}

// offerOne sends an offer to a random one of the instances, unless that is this one.
func (c *Core) offerOne(names []state.InstanceName) {
	if len(names) == 0 {
		return
	}
	if name := names[c.random.IntN(len(names))]; name != c.self.Name {
		c.offerWithSender(name)
	}
}

// offerWithSender offers the current revision and includes this instance's own data, for peers that do not know it.
func (c *Core) offerWithSender(to state.InstanceName) {
	o, self := c.currentOffer(), c.self
	o.Sender = &self
	c.send(to, o)
	c.Stats.Offered++
}

// askPeers sends an empty offer to up to StartPeers instances of each region, which answer with an offer of their current
// revision. It returns the number of instances asked.
func (c *Core) askPeers() int {
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

// TakeOutbound returns and clears the messages to send.
func (c *Core) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}

// TakeUndecoded returns and clears the configurations to decode. Each must be passed to Adopt or Reject.
func (c *Core) TakeUndecoded() []Item {
	toDecode := c.toDecode
	c.toDecode = nil
	return toDecode
}
