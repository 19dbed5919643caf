package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Ask is a request of a traffic goroutine for a grant in the first of several regions that gives one.
type Ask struct {
	Service  state.ServiceName
	Customer state.CustomerName
	Regions  []Target      // in order of preference
	Wait     time.Duration // longest time to queue; a later region gets what is left of it, but at least a quarter
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
	epoch    message.Epoch
	asked    state.Instant // when the Ask began
	deadline state.Instant // for the region that is being asked
	resendAt state.Instant
	refusal  message.Refusal // of the regions asked before
	after    time.Duration
}

// HolderStats counts what the holder did.
type HolderStats struct {
	Asked     uint64
	Granted   uint64
	Refused   uint64
	TimedOut  uint64
	Fenced    uint64
	Abandoned uint64 // grants given back unused
	Outdated  uint64 // messages for another incarnation, or of an earlier epoch
	Resent    uint64
	Unsent    uint64 // releases dropped because no home was known; the next renewal frees their grants
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
	o := &Holder{
		self: self, homeOf: homeOf, nextID: 1,
		pending: make(map[message.GrantID]*pending),
		regions: make(map[state.RegionName]*holdings),
	}
	o.holdings(self.Region)
	return o
}

// Watch makes the holder report to the homes of the regions when they change, also while it holds nothing there. A new
// home need not wait for the leases of an instance that reports.
func (o *Holder) Watch(regions []state.RegionName) {
	for _, r := range regions {
		o.holdings(r)
	}
}

// Ask starts asking the regions of a, in order. The asker gets exactly one answer.
func (o *Holder) Ask(now state.Instant, a *Ask, asker Asker) {
	o.Stats.Asked++
	id := o.nextID
	o.nextID++
	if len(o.pending) >= MaxPending {
		o.Stats.Refused++
		asker.Answer(Answer{ID: id, Refusal: message.RefusedHolder, After: minAfter})
		return
	}
	p := &pending{ask: a, asker: asker, next: -1, asked: now}
	o.pending[id] = p
	o.askNext(now, id, p, message.RefusedNoHome, 0)
}

// askNext asks the next region, or answers with the refusal when there is none.
func (o *Holder) askNext(now state.Instant, id message.GrantID, p *pending, why message.Refusal, after time.Duration) {
	p.refused(why, after)
	for p.next++; p.next < len(p.ask.Regions); p.next++ {
		t := p.ask.Regions[p.next]
		if len(o.holdings(t.Region).grants) >= MaxHeld {
			p.refused(message.RefusedHolder, minAfter)
			continue
		}
		wait := p.ask.Wait
		if p.next > 0 {
			wait = max(wait-now.Sub(p.asked), wait/4)
		}
		p.deadline = now.Add(wait + GrantTimeout)
		if o.send(now, id, p) {
			return
		}
	}
	delete(o.pending, id)
	o.Stats.Refused++
	p.asker.Answer(Answer{ID: id, Refusal: p.refusal, After: p.after})
}

// refused keeps the refusal to answer with: the first one by a home, else the last one.
func (p *pending) refused(why message.Refusal, after time.Duration) {
	if p.refusal == message.RefusedNone || p.refusal == message.RefusedNoHome || p.refusal == message.RefusedNotHome {
		p.refusal = why
	}
	if after > 0 && (p.after == 0 || after < p.after) {
		p.after = after
	}
}

// send asks the home of the current region. It returns false when the region has no known home.
func (o *Holder) send(now state.Instant, id message.GrantID, p *pending) bool {
	t := p.ask.Regions[p.next]
	home, epoch := o.target(t.Region)
	if home == "" {
		return false
	}
	p.home, p.epoch, p.resendAt = home, epoch, now.Add(ResendInterval)
	o.out = append(o.out, Outbound{home, &message.GrantRequest{
		ID: id, Region: t.Region, Service: p.ask.Service, Customer: p.ask.Customer, EntryRegion: o.self.Region,
		Shift: t.Shift, Rate: t.Rate, Wait: max(0, p.deadline.Sub(now)-GrantTimeout), Exclude: p.ask.Exclude, SentAt: now,
	}})
	return true
}

// Reply handles the answer of a home.
func (o *Holder) Reply(now state.Instant, from state.InstanceName, m *message.GrantReply) {
	if m.Holder != o.self.Incarnation {
		o.Stats.Outdated++
		return
	}
	p, h := o.pending[m.ID], o.holdings(m.Region)
	if p == nil || p.ask.Regions[p.next].Region != m.Region {
		o.rejectLate(h, m)
		return
	}
	if m.Backend == "" {
		if m.Refusal == message.RefusedNotHome {
			// Tick sends again, at once when another home becomes known. With another region left to ask, that is not
			// worth the whole wait.
			p.refused(m.Refusal, m.After)
			if p.next+1 < len(p.ask.Regions) {
				p.deadline = min(p.deadline, now.Add(GrantTimeout))
			}
			return
		}
		o.askNext(now, m.ID, p, m.Refusal, m.After)
		return
	}
	if m.Epoch < h.epoch {
		// A later home does not count this grant, or counts it and answers the repeated request with it.
		o.Stats.Outdated++
		return
	}
	if m.Epoch > h.epoch {
		h.join(from, m.Epoch)
	}
	o.accept(now, p, h, m)
}

// accept takes a grant into use, unless the holder is full or the grant came too late.
func (o *Holder) accept(now state.Instant, p *pending, h *holdings, m *message.GrantReply) {
	// The home gave the grant at this time or later, on this process's clock.
	base := m.SentAt.Add(time.Duration(float64(m.Waited) / clockExcess))
	unused := message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused}
	if lapsed(now, base) || len(h.grants) >= MaxHeld {
		o.Stats.Abandoned++
		h.release(unused)
		why := message.RefusedTimeout
		if len(h.grants) >= MaxHeld {
			why = message.RefusedHolder
		}
		o.askNext(now, m.ID, p, why, minAfter)
		return
	}
	delete(o.pending, m.ID)
	t := p.ask.Regions[p.next]
	h.grants[m.ID] = &held{asker: p.asker, base: base, known: true, grant: message.HeldGrant{
		ID: m.ID, Service: p.ask.Service, Customer: p.ask.Customer, Backend: m.Backend,
		Entry: o.self.Region, Shift: t.Shift, Rate: t.Rate,
	}}
	o.Stats.Granted++
	if !p.asker.Answer(Answer{ID: m.ID, Region: m.Region, Epoch: m.Epoch, Backend: m.Backend}) {
		o.Stats.Abandoned++
		o.Release(m.Region, unused)
	}
}

// rejectLate releases a grant that nobody waits for any more.
func (o *Holder) rejectLate(h *holdings, m *message.GrantReply) {
	if m.Backend == "" || m.Epoch < h.epoch || h.grants[m.ID] != nil {
		return
	}
	o.Stats.Abandoned++
	h.release(message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused})
}

// Tick asks again after timeouts and changes of home, renews grants and fences those whose lease has ended.
func (o *Holder) Tick(now state.Instant) {
	for _, region := range o.regionNames() {
		h := o.regions[region]
		home, epoch := o.target(region)
		if home != "" && (home != h.home || epoch != h.epoch) {
			h.join(home, epoch)
		}
		o.fenceLapsed(now, h)
		o.flushReleases(region, h, home)
		if home != "" && (h.joined || (len(h.grants) > 0 || h.owed > 0) && now.Sub(h.renewed) >= RenewInterval) {
			o.renew(now, region, h)
		}
	}
	for _, id := range o.duePending(now) {
		p := o.pending[id]
		if p == nil {
			continue
		}
		if p.deadline.Before(now) {
			o.Stats.TimedOut++
			o.askNext(now, id, p, message.RefusedNoHome, 0)
			continue
		}
		o.Stats.Resent++
		o.send(now, id, p)
	}
}

// duePending returns the asks that timed out, or that must be sent again, in order.
func (o *Holder) duePending(now state.Instant) []message.GrantID {
	var due []message.GrantID
	for id, p := range o.pending {
		home, epoch := o.target(p.ask.Regions[p.next].Region)
		changed := home != "" && (home != p.home || epoch != p.epoch)
		if p.deadline.Before(now) || changed || p.resendAt.Before(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// target returns the home to talk to: the known one, or a later one that has answered already.
func (o *Holder) target(region state.RegionName) (state.InstanceName, message.Epoch) {
	home, epoch := o.homeOf(region)
	if h := o.regions[region]; h != nil && home != "" && h.epoch > epoch {
		return h.home, h.epoch
	}
	return home, epoch
}

// Flush sends the releases that were collected since the last turn.
func (o *Holder) Flush() {
	for _, region := range o.regionNames() {
		home, _ := o.target(region)
		o.flushReleases(region, o.regions[region], home)
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
