package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// GrantTimeout is how long an instance waits for a home's answer beyond the queue wait that it asked for.
const GrantTimeout = 250 * time.Millisecond

// Ask is a request of a traffic goroutine for a grant in the first of several regions that gives one.
type Ask struct {
	Service  state.ServiceName
	Customer state.CustomerName
	Regions  []Target // in order of preference
	Wait     time.Duration
	Exclude  []state.BackendName
}

// Target is one region to ask.
type Target struct {
	Region state.RegionName
	Shift  state.ShiftName
	Rate   int64 // bytes per second to reserve on the link to this instance's region
}

// Answer is the result of an Ask. Backend is empty when every region refused.
type Answer struct {
	ID      message.GrantID
	Region  state.RegionName
	Epoch   message.Epoch
	Backend state.BackendName
	Refusal message.Refusal
	After   time.Duration
}

// Asker is told of the answer to its Ask and of the loss of its grant. The methods are called by the control
// goroutine and must not block.
type Asker interface {
	// Answer delivers the answer. It returns false when nobody waits for it any more; a grant is then released.
	Answer(Answer) bool
	// Fence tells that the grant may be given to others from now on: the request under it must be cancelled.
	Fence()
}

// HomeOf finds the home of a region; empty when none is known.
type HomeOf func(state.RegionName) (state.InstanceName, message.Epoch)

// pending is an Ask that waits for a home.
type pending struct {
	ask      *Ask
	asker    Asker
	next     int // index of the region that is being asked
	home     state.InstanceName
	deadline state.Instant
}

// held is a grant in use.
type held struct {
	grant message.HeldGrant
	asker Asker
}

// holdings is what the instance holds in one region.
type holdings struct {
	grants    map[message.GrantID]*held
	releases  []message.Release
	epoch     message.Epoch
	home      state.InstanceName
	confirmed state.Instant // when the last confirmed renewal was sent
	renewed   state.Instant // when the last renewal was sent
	seq       uint64
}

// HolderStats counts what the holder did.
type HolderStats struct {
	Asked     uint64
	Granted   uint64
	Refused   uint64
	TimedOut  uint64
	Fenced    uint64
	Abandoned uint64
}

// Holder asks homes for grants and keeps those in use. It belongs to the control goroutine.
type Holder struct {
	self    state.Instance
	homeOf  HomeOf
	nextID  message.GrantID
	pending map[message.GrantID]*pending
	regions map[state.RegionName]*holdings
	out     []Outbound
	Stats   HolderStats
}

// NewHolder returns a holder without grants.
func NewHolder(self state.Instance, homeOf HomeOf) *Holder {
	return &Holder{
		self: self, homeOf: homeOf, nextID: 1,
		pending: make(map[message.GrantID]*pending),
		regions: make(map[state.RegionName]*holdings),
	}
}

// Ask starts asking the regions of a, in order.
func (o *Holder) Ask(now state.Instant, a *Ask, asker Asker) {
	o.Stats.Asked++
	p := &pending{ask: a, asker: asker, next: -1}
	id := o.nextID
	o.nextID++
	o.pending[id] = p
	o.askNext(now, id, p, message.RefusedNoHome, 0)
}

// askNext asks the next region, or answers with the refusal when there is none.
func (o *Holder) askNext(now state.Instant, id message.GrantID, p *pending, why message.Refusal, after time.Duration) {
	for p.next++; p.next < len(p.ask.Regions); p.next++ {
		if o.send(now, id, p) {
			return
		}
	}
	delete(o.pending, id)
	o.Stats.Refused++
	p.asker.Answer(Answer{ID: id, Refusal: why, After: after})
}

// send asks the home of the current region. It returns false when the region has no known home.
func (o *Holder) send(now state.Instant, id message.GrantID, p *pending) bool {
	t := p.ask.Regions[p.next]
	home, _ := o.homeOf(t.Region)
	if home == "" {
		return false
	}
	p.home = home
	p.deadline = now.Add(p.ask.Wait + GrantTimeout)
	o.out = append(o.out, Outbound{home, &message.GrantRequest{
		ID: id, Region: t.Region, Service: p.ask.Service, Customer: p.ask.Customer,
		EntryRegion: o.self.Region, Shift: t.Shift, Rate: t.Rate, Wait: p.ask.Wait, Exclude: p.ask.Exclude,
	}})
	return true
}

// Reply handles the answer of a home.
func (o *Holder) Reply(now state.Instant, from state.InstanceName, m *message.GrantReply) {
	p := o.pending[m.ID]
	if p == nil {
		o.rejectLate(m)
		return
	}
	if p.ask.Regions[p.next].Region != m.Region {
		o.rejectLate(m)
		return
	}
	if m.Backend == "" {
		o.askNext(now, m.ID, p, m.Refusal, m.After)
		return
	}
	delete(o.pending, m.ID)
	h := o.holdings(m.Region)
	h.home, h.epoch = from, max(h.epoch, m.Epoch)
	if len(h.grants) == 0 {
		// The home counts a new grant for a full lease after it gave it, which was after the request was sent.
		h.confirmed = p.deadline.Add(-p.ask.Wait - GrantTimeout)
		h.renewed = h.confirmed
	}
	t := p.ask.Regions[p.next]
	h.grants[m.ID] = &held{asker: p.asker, grant: message.HeldGrant{
		ID: m.ID, Service: p.ask.Service, Customer: p.ask.Customer, Backend: m.Backend,
		Entry: o.self.Region, Shift: t.Shift, Rate: t.Rate,
	}}
	o.Stats.Granted++
	if !p.asker.Answer(Answer{ID: m.ID, Region: m.Region, Epoch: m.Epoch, Backend: m.Backend}) {
		o.Stats.Abandoned++
		o.Release(m.Region, message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused})
	}
}

// rejectLate releases a grant that nobody waits for any more.
func (o *Holder) rejectLate(m *message.GrantReply) {
	h := o.holdings(m.Region)
	if m.Backend != "" && h.grants[m.ID] == nil {
		o.Stats.Abandoned++
		h.releases = append(h.releases, message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused})
	}
}

// Release gives a grant back.
func (o *Holder) Release(region state.RegionName, r message.Release) {
	h := o.holdings(region)
	delete(h.grants, r.ID)
	h.releases = append(h.releases, r)
}

// Confirm handles the home's answer to a renewal.
func (o *Holder) Confirm(m *message.HeldGrantsReply) {
	h := o.holdings(m.Region)
	if m.Epoch >= h.epoch && h.confirmed.Before(m.SentAt) {
		h.epoch, h.confirmed = m.Epoch, m.SentAt
	}
}

// Tick asks again after timeouts, renews grants and fences those whose lease has ended.
func (o *Holder) Tick(now state.Instant) {
	for id, p := range o.pending {
		if p.deadline.Before(now) {
			o.Stats.TimedOut++
			o.askNext(now, id, p, message.RefusedNoHome, 0)
		}
	}
	for region, h := range o.regions {
		home, epoch := o.homeOf(region)
		o.flushReleases(region, h, home)
		if len(h.grants) == 0 {
			continue
		}
		if now.Sub(h.confirmed) >= GrantLease {
			o.fence(h)
			continue
		}
		if home != "" && (home != h.home || epoch != h.epoch || now.Sub(h.renewed) >= RenewInterval) {
			o.renew(now, region, h, home, epoch)
		}
	}
}

func (o *Holder) flushReleases(region state.RegionName, h *holdings, home state.InstanceName) {
	if len(h.releases) == 0 || home == "" {
		return
	}
	o.out = append(o.out, Outbound{home, &message.GrantRelease{Region: region, Epoch: h.epoch, Releases: h.releases}})
	h.releases = nil
}

func (o *Holder) fence(h *holdings) {
	for id, g := range h.grants {
		o.Stats.Fenced++
		g.asker.Fence()
		delete(h.grants, id)
	}
}

func (o *Holder) renew(now state.Instant, region state.RegionName, h *holdings, home state.InstanceName, epoch message.Epoch) {
	h.home, h.epoch, h.renewed = home, epoch, now
	h.seq++
	m := &message.HeldGrants{Region: region, Epoch: epoch, Seq: h.seq, SentAt: now, NextID: o.nextID}
	for id := range o.pending {
		m.NextID = min(m.NextID, id)
	}
	for _, g := range h.grants {
		m.Grants = append(m.Grants, g.grant)
	}
	o.out = append(o.out, Outbound{home, m})
}

// Flush sends the releases that were collected since the last turn.
func (o *Holder) Flush() {
	for region, h := range o.regions {
		home, _ := o.homeOf(region)
		o.flushReleases(region, h, home)
	}
}

// TakeOutbound returns the messages to send since the last call.
func (o *Holder) TakeOutbound() []Outbound {
	out := o.out
	o.out = nil
	return out
}

// Held returns the number of grants in use in a region.
func (o *Holder) Held(region state.RegionName) int { return len(o.holdings(region).grants) }

func (o *Holder) holdings(region state.RegionName) *holdings {
	h := o.regions[region]
	if h == nil {
		h = &holdings{grants: make(map[message.GrantID]*held)}
		o.regions[region] = h
	}
	return h
}
