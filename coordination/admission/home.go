// Package admission decides which requests may run in a region and on which backend server.
//
// Home counts every limit of one region at one place, so that the sum of what instances use stays at or under each
// limit. Holder is the other side: it asks homes for grants, keeps those that the instance uses, and cancels the
// requests of grants that it can no longer renew. Both are cores without I/O: they take typed messages and the
// current time, and return messages to send.
package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of grants.
const (
	// GrantLease is how long a holder may use its grants after it sent the last confirmed renewal.
	GrantLease = time.Second
	// GrantMargin is added by the home before it frees grants that were not renewed. It covers clock drift of 10%.
	GrantMargin = GrantLease / 10
	// RenewInterval is the time between renewals of held grants.
	RenewInterval = 200 * time.Millisecond
)

// MaxQueued bounds the requests that wait for a slot of one service in one region.
const MaxQueued = 1024

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// grantKey identifies a grant in the whole fleet.
type grantKey struct {
	holder      state.InstanceName
	incarnation state.Incarnation
	id          message.GrantID
}

// grant is a request that runs.
type grant struct {
	request message.HeldGrant
	expires state.Instant
}

// waiter is a request that waits for a slot.
type waiter struct {
	key     grantKey
	request *message.GrantRequest
	expires state.Instant
}

// server is the state of one backend server.
type server struct {
	config  *state.BackendServer
	drained bool
	running int
}

// pool is the state of one service in the region.
type pool struct {
	servers []*server
	queue   []waiter
	running int
}

// Home grants requests for one region. It belongs to the control goroutine of the home instance.
type Home struct {
	region  state.RegionName
	epoch   message.Epoch
	index   *state.Index
	pools   map[state.ServiceName]*pool
	servers map[state.BackendName]*server
	grants  map[grantKey]*grant
	running int
	out     []Outbound
}

// NewHome returns the home of a region for one epoch.
func NewHome(region state.RegionName, epoch message.Epoch) *Home {
	return &Home{
		region:  region,
		epoch:   epoch,
		pools:   make(map[state.ServiceName]*pool),
		servers: make(map[state.BackendName]*server),
		grants:  make(map[grantKey]*grant),
	}
}

// ApplyConfig takes a newly accepted configuration into use. Running grants stay.
func (h *Home) ApplyConfig(c *state.Config, x *state.Index) {
	h.index = x
	pools := make(map[state.ServiceName]*pool)
	servers := make(map[state.BackendName]*server)
	for i := range c.Backends {
		b := &c.Backends[i]
		if b.Region != h.region {
			continue
		}
		s := h.servers[b.Name]
		if s == nil {
			s = &server{}
		}
		s.config, s.drained = b, c.Drained(b)
		servers[b.Name] = s
		p := pools[b.Service]
		if p == nil {
			p = &pool{}
			if old := h.pools[b.Service]; old != nil {
				p.queue, p.running = old.queue, old.running
			}
			pools[b.Service] = p
		}
		p.servers = append(p.servers, s)
	}
	h.pools, h.servers = pools, servers
}

// Request handles a request for a grant. The answer may come later, when a slot is free or the wait is over.
func (h *Home) Request(now state.Instant, from state.InstanceName, inc state.Incarnation, r *message.GrantRequest) {
	key := grantKey{from, inc, r.ID}
	if g := h.grants[key]; g != nil { // repeated message
		h.reply(from, r.ID, g.request.Backend, message.RefusedNone)
		return
	}
	p := h.pools[r.Service]
	if p == nil || h.index.Customer[r.Customer] == nil {
		h.reply(from, r.ID, "", message.RefusedUnknown)
		return
	}
	if s := p.pick(r.Exclude); s != nil && len(p.queue) == 0 && h.hasRoom() {
		h.grant(now, key, r, p, s)
		return
	}
	if len(p.queue) >= MaxQueued {
		h.reply(from, r.ID, "", message.RefusedQueueFull)
		return
	}
	p.queue = append(p.queue, waiter{key: key, request: r, expires: now.Add(r.Wait)})
}

// Release takes grants back and serves waiting requests.
func (h *Home) Release(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.GrantRelease) {
	for _, r := range m.Releases {
		h.free(grantKey{from, inc, r.ID})
	}
	h.serveAll(now)
}

// Held renews the grants of one holder and frees those that it no longer uses.
func (h *Home) Held(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.HeldGrants) {
	listed := make(map[message.GrantID]bool, len(m.Grants))
	for _, g := range m.Grants {
		listed[g.ID] = true
		key := grantKey{from, inc, g.ID}
		if h.grants[key] == nil {
			h.add(key, g)
		}
		h.grants[key].expires = now.Add(GrantLease + GrantMargin)
	}
	for key := range h.grants {
		if key.holder == from && key.incarnation == inc && key.id < m.NextID && !listed[key.id] {
			h.free(key)
		}
	}
	h.out = append(h.out, Outbound{from, &message.HeldGrantsReply{Region: h.region, Epoch: h.epoch, Seq: m.Seq, SentAt: m.SentAt}})
	h.serveAll(now)
}

// Tick frees lapsed grants and refuses requests that waited too long.
func (h *Home) Tick(now state.Instant) {
	for key, g := range h.grants {
		if g.expires.Before(now) {
			h.free(key)
		}
	}
	for _, p := range h.pools {
		kept := p.queue[:0]
		for _, w := range p.queue {
			if w.expires.Before(now) {
				h.reply(w.key.holder, w.key.id, "", message.RefusedTimeout)
				continue
			}
			kept = append(kept, w)
		}
		p.queue = kept
	}
	h.serveAll(now)
}

// TakeOutbound returns the messages to send since the last call.
func (h *Home) TakeOutbound() []Outbound {
	out := h.out
	h.out = nil
	return out
}

// Status reports the load of the region.
func (h *Home) Status() *message.RegionStatus {
	st := &message.RegionStatus{Region: h.region, Epoch: h.epoch, Running: h.running}
	if r := h.index.Region[h.region]; r != nil {
		st.MaxRunning = r.MaxRunning
	}
	for name, p := range h.pools {
		load := state.ServiceLoad{Service: name, Running: p.running, Queued: len(p.queue)}
		for _, s := range p.servers {
			if !s.drained {
				load.Slots += s.config.Slots
			}
		}
		st.Services = append(st.Services, load)
	}
	sort.Slice(st.Services, func(i, j int) bool { return st.Services[i].Service < st.Services[j].Service })
	return st
}

func (h *Home) hasRoom() bool {
	r := h.index.Region[h.region]
	return r == nil || r.MaxRunning == 0 || h.running < r.MaxRunning
}

func (h *Home) serveAll(now state.Instant) {
	for _, p := range h.pools {
		h.serve(now, p)
	}
}

// serve grants waiting requests in order while slots and limits allow it.
func (h *Home) serve(now state.Instant, p *pool) {
	for len(p.queue) > 0 && h.hasRoom() {
		w := p.queue[0]
		s := p.pick(w.request.Exclude)
		if s == nil {
			return
		}
		p.queue = p.queue[1:]
		h.grant(now, w.key, w.request, p, s)
	}
}

func (h *Home) grant(now state.Instant, key grantKey, r *message.GrantRequest, _ *pool, s *server) {
	h.add(key, message.HeldGrant{
		ID: r.ID, Service: r.Service, Customer: r.Customer, Backend: s.config.Name,
		Entry: r.EntryRegion, Shift: r.Shift, Rate: r.Rate,
	})
	h.grants[key].expires = now.Add(GrantLease + GrantMargin)
	h.reply(key.holder, r.ID, s.config.Name, message.RefusedNone)
}

func (h *Home) add(key grantKey, g message.HeldGrant) {
	h.grants[key] = &grant{request: g}
	h.running++
	if p := h.pools[g.Service]; p != nil {
		p.running++
	}
	if s := h.servers[g.Backend]; s != nil {
		s.running++
	}
}

func (h *Home) free(key grantKey) {
	g := h.grants[key]
	if g == nil {
		return
	}
	delete(h.grants, key)
	h.running--
	if p := h.pools[g.request.Service]; p != nil {
		p.running--
	}
	if s := h.servers[g.request.Backend]; s != nil {
		s.running--
	}
}

func (h *Home) reply(to state.InstanceName, id message.GrantID, b state.BackendName, why message.Refusal) {
	h.out = append(h.out, Outbound{to, &message.GrantReply{ID: id, Region: h.region, Epoch: h.epoch, Backend: b, Refusal: why}})
}

// pick returns the server with the lowest share of busy slots, or nil when none has a free slot.
func (p *pool) pick(exclude []state.BackendName) *server {
	var best *server
	for _, s := range p.servers {
		if s.drained || s.running >= s.config.Slots || contains(exclude, s.config.Name) {
			continue
		}
		if best == nil || s.running*best.config.Slots < best.running*s.config.Slots {
			best = s
		}
	}
	return best
}

func contains(list []state.BackendName, name state.BackendName) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
