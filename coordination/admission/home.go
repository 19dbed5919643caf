package admission

import (
	"container/heap"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxWait is the max time that a request waits in a home's queue.
const MaxWait = time.Minute

// PeerRetention is how long a home retains the record of an instance without grants or requests, to detect duplicates.
const PeerRetention = time.Minute

// grantKey identifies a grant in the whole fleet.
type grantKey struct {
	holder      state.InstanceName
	incarnation state.Incarnation
	id          message.GrantID
}

// grant is a running request. It holds all that it was counted under, so that its end reverses the same counters, also
// after a change of configuration.
type grant struct {
	held      message.HeldGrant
	server    *server
	account   *account
	link      *link
	shift     *shift
	grantedAt state.Instant
	expires   state.Instant
	expired   bool
	probe     bool
	adopted   bool // granted by a predecessor; grantedAt is unknown
}

// peer is the home's record of one incarnation of an entry instance.
type peer struct {
	seq      uint64          // of the last HeldGrants
	nextID   message.GrantID // requests with a lower identifier are no longer pending at the holder
	grants   map[message.GrantID]*grant
	waiting  map[message.GrantID]*waiter
	lastSeen state.Instant
	// suspectedAt is when the incarnation was last added to Home.suspects.
	suspectedAt state.Instant
}

// peerKey identifies one incarnation of an entry instance.
type peerKey struct {
	name        state.InstanceName
	incarnation state.Incarnation
}

// HomeStats counts what the home did.
type HomeStats struct {
	Granted  uint64
	Lapsed   uint64 // grants that expired; they remain counted
	GivenUp  uint64 // expired grants freed because their requests cannot run any more
	Freed    uint64 // grants freed because the process of their holder has ended
	Lost     uint64 // reported grants that the home does not count
	Outdated uint64 // messages of an earlier epoch, sequence number or incarnation
	Refused  map[message.Refusal]uint64
}

// Home allocates the slots of one region to requests. Only the control goroutine of the home instance uses it.
type Home struct {
	region         state.RegionName
	epoch          message.Epoch
	index          *state.Index
	maxRunning     int // 0 means no limit
	pools          map[state.ServiceName]*pool
	servers        map[state.BackendName]*server
	links          map[state.RegionName]*link
	shifts         map[state.ShiftName]*shift
	shiftsFrom     map[state.RegionName]*shift
	drainedRegions map[state.RegionName]bool
	peers          map[peerKey]*peer
	newest         map[state.InstanceName]state.Incarnation
	waiting        []*pool // pools with waiting requests
	cursor         int     // index in waiting of the pool that serveAll examined last
	deadlines      deadlineHeap
	running        int
	seq            uint64
	now            state.Instant
	takeover       takeover
	suspects       []Suspect
	out            []Outbound
	Stats          HomeStats
}

// NewHome returns the home of a region for one epoch. The home of the first epoch grants at once. A later one first
// collects the grants of its predecessor; ExpectReports sets the instances that may hold some.
func NewHome(region state.RegionName, epoch message.Epoch) *Home {
	h := &Home{
		region:  region,
		epoch:   epoch,
		index:   state.NewIndex(&state.Config{}),
		pools:   make(map[state.ServiceName]*pool),
		servers: make(map[state.BackendName]*server),
		links:   make(map[state.RegionName]*link),
		shifts:  make(map[state.ShiftName]*shift),
		peers:   make(map[peerKey]*peer),
		newest:  make(map[state.InstanceName]state.Incarnation),
	}
	h.Stats.Refused = make(map[message.Refusal]uint64)
	h.takeover.collecting = epoch > 1
	return h
}

// Request handles a request for a grant. The reply may follow later, when a slot is free or the wait ends.
func (h *Home) Request(now state.Instant, from state.InstanceName, inc state.Incarnation, r *message.GrantRequest) {
	h.advance(now)
	key := grantKey{from, inc, r.ID}
	if h.takeover.resigned || r.Region != h.region {
		h.reply(key, r.SentAt, message.GrantReply{Refusal: message.RefusedNotHome})
		return
	}
	pr := h.activePeer(from, inc)
	if pr == nil || r.ID < pr.nextID || pr.waiting[r.ID] != nil {
		h.Stats.Outdated++
		return
	}
	if g := pr.grants[r.ID]; g != nil { // repeated message
		if h.isActive(now) {
			g.extendLease(now)
			h.reply(key, r.SentAt, message.GrantReply{Backend: g.held.Backend})
		}
		return
	}
	a, lk, why := h.classify(now, r)
	if why != message.RefusedNone {
		h.refuse(now, key, r.SentAt, why, a, lk)
		return
	}
	if a.pool.queued == 0 && h.tryGrant(now, key, r, a, lk, 0) {
		return
	}
	h.enqueue(now, pr, key, r, a, lk)
}

// classify returns the account and the limits that a request counts under, or the reason to refuse it at once.
func (h *Home) classify(now state.Instant, r *message.GrantRequest) (*account, laneKey, message.Refusal) {
	p := h.pools[r.Service]
	if p == nil || h.index.Customer[r.Customer] == nil {
		return nil, laneKey{}, message.RefusedUnknown
	}
	if h.index.Region[r.EntryRegion] == nil && r.EntryRegion != h.region {
		return nil, laneKey{}, message.RefusedUnknown
	}
	a := p.account(r.Customer)
	s, ok := h.shiftFor(r.EntryRegion, r.Shift)
	lk := laneKey{shift: s, retry: len(r.Exclude) > 0}
	if r.EntryRegion != h.region && r.Rate > 0 {
		lk.link, lk.rate = h.linkTo(r.EntryRegion), r.Rate
	}
	if !ok {
		return a, lk, message.RefusedShift
	}
	if why := h.permanentRefusal(r, a, lk); why != message.RefusedNone {
		return a, lk, why
	}
	if at, ok := p.availableAt(now); !ok || now.Add(r.Wait).Before(at) {
		return a, lk, message.RefusedNoBackend
	}
	if lk.retry && !p.budget.Retry(now) {
		return a, lk, message.RefusedRetry
	}
	return a, lk, message.RefusedNone
}

// enqueue queues a request, or refuses it when it must not wait or a queue is full.
func (h *Home) enqueue(now state.Instant, pr *peer, key grantKey, r *message.GrantRequest, a *account, lk laneKey) {
	p := a.pool
	why := message.RefusedNone
	switch {
	case r.Wait <= 0:
		why = h.waitReason(now, a, lk)
	case p.queued >= MaxQueued || a.queued >= MaxQueuedPerCustomer:
		why = message.RefusedQueueFull
	}
	if why == message.RefusedNone {
		h.seq++
		w := &waiter{key: key, request: r, seq: h.seq, since: now, expires: now.Add(min(r.Wait, MaxWait))}
		if a.push(w, lk) != nil {
			pr.waiting[r.ID] = w
			heap.Push(&h.deadlines, w)
			h.addWaiting(p)
			h.serve(now, p)
			return
		}
		why = message.RefusedQueueFull
	}
	if lk.retry {
		p.budget.Refund()
	}
	h.refuse(now, key, r.SentAt, why, a, lk)
}

// waitReason returns why a request cannot be granted now.
func (h *Home) waitReason(now state.Instant, a *account, lk laneKey) message.Refusal {
	if h.takeover.collecting {
		return message.RefusedNotHome
	}
	why := h.blocked(now, a, lk)
	if why != message.RefusedNone && (why != message.RefusedCustomer || a.pool.pick(now, nil) != nil) {
		return why
	}
	if at, ok := a.pool.availableAt(now); !ok || now.Before(at) {
		return message.RefusedNoBackend
	}
	return message.RefusedTimeout
}

// Release frees the released grants and serves waiting requests.
func (h *Home) Release(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.GrantRelease) {
	h.advance(now)
	pr := h.peers[peerKey{from, inc}]
	if pr == nil || h.takeover.resigned || m.Region != h.region {
		return
	}
	for i := range m.Releases {
		r := &m.Releases[i]
		g := pr.grants[r.ID]
		if g == nil || g.held.Backend != r.Backend {
			continue
		}
		if g.server != nil {
			g.server.recordResult(now, r, g.probe)
		}
		if g.account != nil && !g.adopted && r.Result == message.ResultOK {
			g.account.pool.observeHold(now.Sub(g.grantedAt))
		}
		h.freeAndServe(now, pr, g)
	}
}

// Tick handles expired grants, ends the collection of the predecessor's grants, refuses requests whose wait has ended,
// and evaluates the servers.
func (h *Home) Tick(now state.Instant) {
	h.advance(now)
	if h.takeover.resigned {
		return
	}
	for k, pr := range h.peers {
		for _, g := range pr.grants {
			if g.expires.Before(now) {
				h.handleExpired(now, k, pr, g)
			}
		}
		if len(pr.grants) == 0 && len(pr.waiting) == 0 {
			h.removePeer(now, k, pr)
		}
	}
	for len(h.deadlines) > 0 && h.deadlines[0].expires.Before(now) {
		w := h.deadlines[0]
		if w.lane.key.retry {
			w.account.pool.budget.Refund()
		}
		h.refuse(now, w.key, w.request.SentAt, h.waitReason(now, w.account, w.lane.key), w.account, w.lane.key)
		h.drop(w)
	}
	for _, p := range h.pools {
		p.evaluate(now)
	}
	h.serveAll(now)
}

// TakeOutbound returns the messages to send since the last call.
func (h *Home) TakeOutbound() []Outbound {
	out := h.out
	h.out = nil
	return out
}

// activePeer returns the record of an incarnation that sent a message, nil when a later incarnation has been seen.
func (h *Home) activePeer(name state.InstanceName, inc state.Incarnation) *peer {
	if inc < h.newest[name] {
		return nil
	}
	h.newest[name] = inc
	pr := h.peerRecord(peerKey{name, inc})
	pr.lastSeen = h.now
	return pr
}

// removePeer removes the record of an earlier incarnation, or of an instance that sent nothing for PeerRetention.
func (h *Home) removePeer(now state.Instant, k peerKey, pr *peer) {
	newest := h.newest[k.name] == k.incarnation
	if newest && now.Sub(pr.lastSeen) < PeerRetention {
		return
	}
	if newest {
		delete(h.newest, k.name)
	}
	delete(h.peers, k)
}

func (h *Home) peerRecord(k peerKey) *peer {
	pr := h.peers[k]
	if pr == nil {
		pr = &peer{grants: make(map[message.GrantID]*grant), waiting: make(map[message.GrantID]*waiter)}
		h.peers[k] = pr
	}
	return pr
}

// advance records the latest time seen, for ApplyConfig, which is called without a time. It also ends a due takeover.
func (h *Home) advance(now state.Instant) {
	h.now = max(h.now, now)
	h.finishTakeover(now)
}

func (h *Home) refuse(now state.Instant, key grantKey, sentAt state.Instant, why message.Refusal, a *account, lk laneKey) {
	h.Stats.Refused[why]++
	if a != nil {
		a.refused[why]++
	}
	h.reply(key, sentAt, message.GrantReply{Refusal: why, After: h.retryAfter(now, why, a, lk)})
}

func (h *Home) reply(key grantKey, sentAt state.Instant, m message.GrantReply) {
	m.ID, m.Region, m.Epoch, m.Holder, m.SentAt = key.id, h.region, h.epoch, key.incarnation, sentAt
	h.out = append(h.out, Outbound{key.holder, &m})
}
