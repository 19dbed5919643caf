package admission

import (
	"container/heap"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxWait bounds the time that a request may wait in a home's queue.
const MaxWait = time.Minute

// PeerMemory is how long a home remembers an instance that uses nothing, to recognise repeated messages.
const PeerMemory = time.Minute

// grantKey identifies a grant in the whole fleet.
type grantKey struct {
	holder      state.InstanceName
	incarnation state.Incarnation
	id          message.GrantID
}

// grant is a request that runs. It keeps what it was counted under, so that a change of configuration between its start
// and its end cannot leave a counter behind.
type grant struct {
	held    message.HeldGrant
	server  *server
	account *account
	link    *link
	shift   *shift
	given   state.Instant
	expires state.Instant
	lapsed  bool
	probe   bool
	taken   bool // from a predecessor; given is unknown
}

// peer is what the home knows of one incarnation of an entry instance.
type peer struct {
	seq     uint64          // of the last HeldGrants
	nextID  message.GrantID // requests with a lower identifier are over
	grants  map[message.GrantID]*grant
	waiting map[message.GrantID]*waiter
	heardAt state.Instant
	// suspectAt is when evidence about the incarnation was last asked for.
	suspectAt state.Instant
}

// peerKey names one incarnation of an entry instance.
type peerKey struct {
	name        state.InstanceName
	incarnation state.Incarnation
}

// HomeStats counts what the home did.
type HomeStats struct {
	Granted  uint64
	Lapsed   uint64 // grants whose lease ended; they are still counted
	GivenUp  uint64 // lapsed grants freed because their requests cannot run any more
	Freed    uint64 // grants freed because their holder is gone
	Lost     uint64 // reported grants that the home had given up
	Outdated uint64 // messages of an earlier epoch, sequence number or incarnation
	Refused  map[message.Refusal]uint64
}

// Home grants requests for one region. It belongs to the control goroutine of the home instance.
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
	cursor         int     // in waiting, where the next round of a full region begins
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
// collects the grants of its predecessor; call Expect to say which instances may hold some.
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

// Request handles a request for a grant. The answer may come later, when a slot is free or the wait is over.
func (h *Home) Request(now state.Instant, from state.InstanceName, inc state.Incarnation, r *message.GrantRequest) {
	h.advance(now)
	key := grantKey{from, inc, r.ID}
	if h.takeover.resigned || r.Region != h.region {
		h.reply(key, r.SentAt, message.GrantReply{Refusal: message.RefusedNotHome})
		return
	}
	pr := h.peer(from, inc)
	if pr == nil || r.ID < pr.nextID || pr.waiting[r.ID] != nil {
		h.Stats.Outdated++
		return
	}
	if g := pr.grants[r.ID]; g != nil { // repeated message
		if h.leads(now) {
			g.confirm(now)
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

// classify finds the limits that a request counts under, or why it is refused at once.
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
	if why := h.never(r, a, lk); why != message.RefusedNone {
		return a, lk, why
	}
	if at, ok := p.opensAt(now); !ok || now.Add(r.Wait).Before(at) {
		return a, lk, message.RefusedNoBackend
	}
	if lk.retry && !p.budget.Retry(now) {
		return a, lk, message.RefusedRetry
	}
	return a, lk, message.RefusedNone
}

// enqueue lets a request wait, or refuses it when it does not want to wait or the queue is full.
func (h *Home) enqueue(now state.Instant, pr *peer, key grantKey, r *message.GrantRequest, a *account, lk laneKey) {
	p := a.pool
	why := message.RefusedNone
	switch {
	case r.Wait <= 0:
		why = h.reason(now, a, lk)
	case p.queued >= MaxQueued || a.queued >= MaxQueuedPerCustomer:
		why = message.RefusedQueueFull
	}
	if why == message.RefusedNone {
		h.seq++
		w := &waiter{key: key, request: r, seq: h.seq, since: now, expires: now.Add(min(r.Wait, MaxWait))}
		if a.push(w, lk) != nil {
			pr.waiting[r.ID] = w
			heap.Push(&h.deadlines, w)
			h.list(p)
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

// reason says why a request that is not granted waits.
func (h *Home) reason(now state.Instant, a *account, lk laneKey) message.Refusal {
	if h.takeover.collecting {
		return message.RefusedNotHome
	}
	why := h.blocked(now, a, lk)
	if why != message.RefusedNone && (why != message.RefusedCustomer || a.pool.pick(now, nil) != nil) {
		return why
	}
	if at, ok := a.pool.opensAt(now); !ok || now.Before(at) {
		return message.RefusedNoBackend
	}
	return message.RefusedTimeout
}

// Release takes grants back and serves waiting requests.
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
			g.server.record(now, r, g.probe)
		}
		if g.account != nil && !g.taken && r.Result == message.ResultOK {
			g.account.pool.observeHold(now.Sub(g.given))
		}
		h.freeAndServe(now, pr, g)
	}
}

// Tick frees lapsed grants, ends the collection of grants, and refuses requests that waited too long.
func (h *Home) Tick(now state.Instant) {
	h.advance(now)
	if h.takeover.resigned {
		return
	}
	for k, pr := range h.peers {
		for _, g := range pr.grants {
			if g.expires.Before(now) {
				h.lapse(now, k, pr, g)
			}
		}
		if len(pr.grants) == 0 && len(pr.waiting) == 0 {
			h.forgetPeer(now, k, pr)
		}
	}
	for len(h.deadlines) > 0 && h.deadlines[0].expires.Before(now) {
		w := h.deadlines[0]
		if w.lane.key.retry {
			w.account.pool.budget.Refund()
		}
		h.refuse(now, w.key, w.request.SentAt, h.reason(now, w.account, w.lane.key), w.account, w.lane.key)
		h.drop(w)
	}
	for _, p := range h.pools {
		p.judge(now)
	}
	h.serveAll(now)
}

// TakeOutbound returns the messages to send since the last call.
func (h *Home) TakeOutbound() []Outbound {
	out := h.out
	h.out = nil
	return out
}

// peer returns the record of an incarnation, nil when a later incarnation has been seen.
func (h *Home) peer(name state.InstanceName, inc state.Incarnation) *peer {
	if inc < h.newest[name] {
		return nil
	}
	h.newest[name] = inc
	pr := h.record(peerKey{name, inc})
	pr.heardAt = h.now
	return pr
}

// forgetPeer drops an earlier incarnation, or an instance that has been silent for long.
func (h *Home) forgetPeer(now state.Instant, k peerKey, pr *peer) {
	newest := h.newest[k.name] == k.incarnation
	if newest && now.Sub(pr.heardAt) < PeerMemory {
		return
	}
	if newest {
		delete(h.newest, k.name)
	}
	delete(h.peers, k)
}

func (h *Home) record(k peerKey) *peer {
	pr := h.peers[k]
	if pr == nil {
		pr = &peer{grants: make(map[message.GrantID]*grant), waiting: make(map[message.GrantID]*waiter)}
		h.peers[k] = pr
	}
	return pr
}

// advance keeps the latest time seen, so that configuration changes, which carry no time, have one.
func (h *Home) advance(now state.Instant) {
	h.now = max(h.now, now)
	h.finishTakeover(now)
}

func (h *Home) refuse(now state.Instant, key grantKey, sentAt state.Instant, why message.Refusal, a *account, lk laneKey) {
	h.Stats.Refused[why]++
	if a != nil {
		a.refused[why]++
	}
	h.reply(key, sentAt, message.GrantReply{Refusal: why, After: h.after(now, why, a, lk)})
}

func (h *Home) reply(key grantKey, sentAt state.Instant, m message.GrantReply) {
	m.ID, m.Region, m.Epoch, m.Holder, m.SentAt = key.id, h.region, h.epoch, key.incarnation, sentAt
	h.out = append(h.out, Outbound{key.holder, &m})
}
