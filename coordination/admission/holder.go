package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Ask is the request of a traffic goroutine for a grant. Its regions are tried in order until one gives a grant.
type Ask struct {
	Service  state.ServiceName
	Customer state.CustomerName
	Regions  []Target            // in order of preference
	Wait     time.Duration       // max queue time; later regions get the rest of it, but at least a quarter
	Exclude  []state.BackendName // servers that must not be chosen; not empty for a retry
}

// Target is one region to ask.
type Target struct {
	Region state.RegionName
	Shift  state.ShiftName
	Rate   int64 // bytes per second to reserve on the link to this instance's region
}

// Answer is the result of an Ask. Backend is empty when all regions refused.
type Answer struct {
	ID         message.GrantID
	Region     state.RegionName
	Epoch      message.Epoch
	Backend    state.BackendName
	Refusal    message.Refusal
	RetryAfter time.Duration // hint when to ask again; set with a refusal
}

// Requester receives the answer to its Ask and the loss of its grant. The methods are called by the control goroutine and
// must not block.
type Requester interface {
	// Answer delivers the answer. It returns false when it is no longer awaited; a grant is then released.
	Answer(Answer) bool
	// Fence reports that the slot of the grant may be given to others from now on: the request must be cancelled.
	Fence()
}

// HomeOf returns the home of a region and its epoch; the name is empty when no home is known.
type HomeOf func(state.RegionName) (state.InstanceName, message.Epoch)

// pending is an Ask that waits for a home's reply.
type pending struct {
	ask        *Ask
	requester  Requester
	current    int // index of the region that is being asked
	home       state.InstanceName
	epoch      message.Epoch
	startedAt  state.Instant // time of the call of Holder.Ask
	deadline   state.Instant // for the region that is being asked
	resendAt   state.Instant
	refusal    message.Refusal // to answer with when no region gives a grant
	retryAfter time.Duration   // shortest hint of the regions that refused
}

// HolderStats counts what the holder did.
type HolderStats struct {
	Asked     uint64
	Granted   uint64
	Refused   uint64
	TimedOut  uint64
	Fenced    uint64 // grants whose requests were cancelled; see Requester.Fence
	Abandoned uint64 // grants released without use
	Outdated  uint64 // messages for another incarnation, or of an earlier epoch
	Resent    uint64
	Unsent    uint64 // releases dropped because MaxUnsent were queued; the next renewal frees their grants
}

// Holder asks homes for grants and renews those in use. Only the control goroutine uses it.
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

// ReportTo makes the holder report to each new home of the regions, even without grants there. A new home does not wait
// for the leases of an instance that has reported.
func (o *Holder) ReportTo(regions []state.RegionName) {
	for _, r := range regions {
		o.holdings(r)
	}
}

// Ask starts asking the regions of a, in order. The requester gets exactly one answer.
func (o *Holder) Ask(now state.Instant, a *Ask, requester Requester) {
	o.Stats.Asked++
	id := o.nextID
	o.nextID++
	if len(o.pending) >= MaxPending {
		o.Stats.Refused++
		requester.Answer(Answer{ID: id, Refusal: message.RefusedHolder, RetryAfter: minRetryAfter})
		return
	}
	p := &pending{ask: a, requester: requester, current: -1, startedAt: now}
	o.pending[id] = p
	o.askNext(now, id, p, message.RefusedNoHome, 0)
}

// askNext records the refusal of the current region and asks the next one, or answers when no region is left.
func (o *Holder) askNext(now state.Instant, id message.GrantID, p *pending, why message.Refusal, after time.Duration) {
	p.recordRefusal(why, after)
	for p.current++; p.current < len(p.ask.Regions); p.current++ {
		t := p.ask.Regions[p.current]
		if len(o.holdings(t.Region).grants) >= MaxHeld {
			p.recordRefusal(message.RefusedHolder, minRetryAfter)
			continue
		}
		wait := p.ask.Wait
		if p.current > 0 {
			wait = max(wait-now.Sub(p.startedAt), wait/4)
		}
		p.deadline = now.Add(wait + GrantTimeout)
		if o.sendRequest(now, id, p) {
			return
		}
	}
	delete(o.pending, id)
	o.Stats.Refused++
	p.requester.Answer(Answer{ID: id, Refusal: p.refusal, RetryAfter: p.retryAfter})
}

// recordRefusal sets the refusal to answer with: the first one other than no_home and not_home, else the last one.
func (p *pending) recordRefusal(why message.Refusal, after time.Duration) {
	if p.refusal == message.RefusedNone || p.refusal == message.RefusedNoHome || p.refusal == message.RefusedNotHome {
		p.refusal = why
	}
	if after > 0 && (p.retryAfter == 0 || after < p.retryAfter) {
		p.retryAfter = after
	}
}

// sendRequest sends the request to the home of the current region. It returns false when no home is known.
func (o *Holder) sendRequest(now state.Instant, id message.GrantID, p *pending) bool {
	t := p.ask.Regions[p.current]
	home, epoch := o.currentHome(t.Region)
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

// Reply handles the reply of a home to a GrantRequest.
func (o *Holder) Reply(now state.Instant, from state.InstanceName, m *message.GrantReply) {
	if m.Holder != o.self.Incarnation {
		o.Stats.Outdated++
		return
	}
	p, h := o.pending[m.ID], o.holdings(m.Region)
	if p == nil || p.ask.Regions[p.current].Region != m.Region {
		o.releaseLate(h, m)
		return
	}
	if m.Backend == "" {
		if m.Refusal == message.RefusedNotHome {
			// Tick sends the request again, at once when another home becomes known. If there is another region to ask,
			// wait for that at most GrantTimeout.
			p.recordRefusal(m.Refusal, m.After)
			if p.current+1 < len(p.ask.Regions) {
				p.deadline = min(p.deadline, now.Add(GrantTimeout))
			}
			return
		}
		o.askNext(now, m.ID, p, m.Refusal, m.After)
		return
	}
	if m.Epoch < h.epoch {
		// The later home does not count this grant, or it counts it and repeats it in reply to the resent request.
		o.Stats.Outdated++
		return
	}
	if m.Epoch > h.epoch {
		h.switchHome(from, m.Epoch)
	}
	o.accept(now, p, h, m)
}

// accept passes a grant to its requester. If the grant came too late or the holder is full, it releases the grant and asks
// the next region.
func (o *Holder) accept(now state.Instant, p *pending, h *holdings, m *message.GrantReply) {
	// The earliest time on this process's clock at which the home can have given the grant.
	leaseStart := m.SentAt.Add(time.Duration(float64(m.Waited) / maxClockRatio))
	unused := message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused}
	if leaseExpired(now, leaseStart) || len(h.grants) >= MaxHeld {
		o.Stats.Abandoned++
		h.queueRelease(unused)
		why := message.RefusedTimeout
		if len(h.grants) >= MaxHeld {
			why = message.RefusedHolder
		}
		o.askNext(now, m.ID, p, why, minRetryAfter)
		return
	}
	delete(o.pending, m.ID)
	t := p.ask.Regions[p.current]
	h.grants[m.ID] = &heldGrant{requester: p.requester, leaseStart: leaseStart, known: true, grant: message.HeldGrant{
		ID: m.ID, Service: p.ask.Service, Customer: p.ask.Customer, Backend: m.Backend,
		Entry: o.self.Region, Shift: t.Shift, Rate: t.Rate,
	}}
	o.Stats.Granted++
	if !p.requester.Answer(Answer{ID: m.ID, Region: m.Region, Epoch: m.Epoch, Backend: m.Backend}) {
		o.Stats.Abandoned++
		o.Release(m.Region, unused)
	}
}

// releaseLate releases a grant whose Ask has ended.
func (o *Holder) releaseLate(h *holdings, m *message.GrantReply) {
	if m.Backend == "" || m.Epoch < h.epoch || h.grants[m.ID] != nil {
		return
	}
	o.Stats.Abandoned++
	h.queueRelease(message.Release{ID: m.ID, Backend: m.Backend, Result: message.ResultUnused})
}

// Tick renews grants, fences those whose lease has expired, resends requests, and asks the next region after a timeout.
func (o *Holder) Tick(now state.Instant) {
	for _, region := range o.regionNames() {
		h := o.regions[region]
		home, epoch := o.currentHome(region)
		if home != "" && (home != h.home || epoch != h.epoch) {
			h.switchHome(home, epoch)
		}
		o.fenceExpired(now, h)
		o.flushReleases(region, h, home)
		if home != "" && (h.reportDue || (len(h.grants) > 0 || h.awaitedSeq > 0) && now.Sub(h.renewedAt) >= RenewInterval) {
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
		o.sendRequest(now, id, p)
	}
}

// duePending returns the Asks that timed out or must be sent again, ordered by ID.
func (o *Holder) duePending(now state.Instant) []message.GrantID {
	var due []message.GrantID
	for id, p := range o.pending {
		home, epoch := o.currentHome(p.ask.Regions[p.current].Region)
		changed := home != "" && (home != p.home || epoch != p.epoch)
		if p.deadline.Before(now) || changed || p.resendAt.Before(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// currentHome returns the home to send to: the one that homeOf returns, or a later one that has already replied.
func (o *Holder) currentHome(region state.RegionName) (state.InstanceName, message.Epoch) {
	home, epoch := o.homeOf(region)
	if h := o.regions[region]; h != nil && home != "" && h.epoch > epoch {
		return h.home, h.epoch
	}
	return home, epoch
}

// Flush sends the queued releases.
func (o *Holder) Flush() {
	for _, region := range o.regionNames() {
		home, _ := o.currentHome(region)
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
