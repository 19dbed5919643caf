package admission

import (
	"container/heap"
	"math"
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// ApplyConfig takes a newly accepted configuration into use. Running grants stay, and stay counted.
func (h *Home) ApplyConfig(c *state.Config, x *state.Index) {
	first := len(h.servers) == 0
	h.index = x
	h.maxRunning = 0
	if r := x.Region[h.region]; r != nil {
		h.maxRunning = r.MaxRunning
	}
	h.applyServers(c, first)
	h.applyPlans(c)
	h.applyLinks(c)
	h.applyShifts(c)
	for _, p := range h.pools {
		heap.Init(&p.ready)
	}
	h.dropNotAllowed()
}

func (h *Home) applyServers(c *state.Config, first bool) {
	for _, s := range h.servers {
		s.listed = false
	}
	for _, p := range h.pools {
		p.servers, p.slots = nil, 0
	}
	for i := range c.Backends {
		b := &c.Backends[i]
		if b.Region != h.region {
			continue
		}
		s := h.servers[b.Name]
		if s == nil {
			s = &server{coldSince: !first}
			h.servers[b.Name] = s
		} else if s.config.Address != b.Address {
			// Another server under the same name: what was learned does not hold. Its running grants stay counted.
			*s = server{running: s.running, probing: s.probing, coldSince: true}
		}
		wasOut := s.drained
		s.config, s.drained, s.listed = b, c.Drained(b), true
		if wasOut && !s.drained && !s.ejected {
			s.coldSince = true
		}
		p := h.pools[b.Service]
		if p == nil {
			p = newPool(b.Service)
			h.pools[b.Service] = p
		}
		s.pool = p
		p.servers = append(p.servers, s)
		if !s.drained {
			p.slots += b.Slots
		}
	}
	for _, s := range h.servers {
		if !s.listed {
			s.drained = true
			h.forgetServer(s)
		}
	}
}

// forgetServer drops a server that has left the configuration, once nothing runs there.
func (h *Home) forgetServer(s *server) {
	if s.running == 0 && !s.listed {
		delete(h.servers, s.config.Name)
	}
}

// applyPlans computes what each customer may use of each service. Guaranteed shares that add up to more than the whole
// are scaled down together.
func (h *Home) applyPlans(c *state.Config) {
	sum := make(map[state.ServiceName]float64)
	for _, p := range h.pools {
		p.unused = 0
		if svc := h.index.Service[p.name]; p.hold == 0 {
			p.hold = assumedShortHold
			if svc != nil && (svc.Kind == state.KindDownload || svc.Kind == state.KindStream) {
				p.hold = assumedLongHold
			}
		}
		for _, a := range p.accounts {
			a.allowed, a.weight, a.guaranteed, a.burst = false, minWeight, 0, 0
		}
	}
	each := func(f func(*account, *state.PlanService)) {
		for _, cu := range c.Customers {
			plan := h.index.Plan[cu.Plan]
			if plan == nil || !planHasRegion(plan, h.region) {
				continue
			}
			for i := range plan.Services {
				if p := h.pools[plan.Services[i].Service]; p != nil {
					f(p.account(cu.Name), &plan.Services[i])
				}
			}
		}
	}
	each(func(a *account, ps *state.PlanService) { sum[ps.Service] += ps.SharePercent })
	each(func(a *account, ps *state.PlanService) {
		slots := float64(a.pool.slots)
		a.allowed, a.weight = true, max(ps.SharePercent, minWeight)
		a.guaranteed = int(math.Floor(slots*ps.SharePercent/max(100, sum[ps.Service]) + 1e-9))
		if ps.BurstPercent > 0 {
			a.burst = max(1, int(math.Floor(slots*ps.BurstPercent/100+1e-9)))
		}
		a.pool.unused += max(0, a.guaranteed-a.running)
	})
	for _, p := range h.pools {
		for name, a := range p.accounts {
			if !a.allowed && a.running == 0 && a.queued == 0 {
				delete(p.accounts, name)
			}
		}
	}
}

func planHasRegion(p *state.Plan, r state.RegionName) bool {
	for _, name := range p.Regions {
		if name == r {
			return true
		}
	}
	return false
}

func (h *Home) applyLinks(c *state.Config) {
	for _, l := range h.links {
		l.capacity = 0
	}
	for _, l := range c.Links {
		if l.From == h.region {
			h.linkTo(l.To).capacity = l.BytesPerSecond
		}
	}
}

// applyShifts keeps the counters of shifts that are no longer in force, since their grants may still run.
func (h *Home) applyShifts(c *state.Config) {
	named := make(map[state.ShiftName]bool)
	h.shiftsFrom = make(map[state.RegionName]*shift)
	h.drainedRegions = make(map[state.RegionName]bool)
	for _, r := range c.Regions {
		h.drainedRegions[r.Name] = c.RegionDrained(r.Name)
	}
	for _, sc := range c.Shifts {
		if sc.To != h.region {
			continue
		}
		s := h.shifts[sc.Name]
		if s == nil {
			s = &shift{}
			h.shifts[sc.Name] = s
		}
		s.change(h.now, sc)
		named[sc.Name] = true
		if h.shiftsFrom[sc.From] == nil {
			h.shiftsFrom[sc.From] = s
		}
	}
	for name, s := range h.shifts {
		if !named[name] {
			s.inForce = false
			if s.running == 0 {
				delete(h.shifts, name)
			}
		}
	}
}

// dropNotAllowed refuses waiting requests that the new configuration rules out.
func (h *Home) dropNotAllowed() {
	var gone []*waiter
	for _, w := range h.deadlines {
		if h.never(w.request, w.account, w.lane.key) != message.RefusedNone {
			gone = append(gone, w)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].seq < gone[j].seq })
	for _, w := range gone {
		h.refuse(h.now, w.key, w.request.SentAt, h.never(w.request, w.account, w.lane.key), w.account, w.lane.key)
		h.drop(w)
	}
}
