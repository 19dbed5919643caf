package admission

import (
	"container/heap"
	"math"
	"sort"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// ApplyConfig applies a newly accepted configuration. Running grants continue and remain counted.
func (h *Home) ApplyConfig(c *state.Config, x *state.Index) {
	initial := len(h.servers) == 0
	h.index = x
	h.maxRunning = 0
	if r := x.Region[h.region]; r != nil {
		h.maxRunning = r.MaxRunning
	}
	h.applyServers(c, initial)
	h.applyPlans(c)
	h.applyLinks(c)
	h.applyShifts(c)
	for _, p := range h.pools {
		heap.Init(&p.ready)
	}
	h.refuseDisallowed()
}

func (h *Home) applyServers(c *state.Config, initial bool) {
	for _, s := range h.servers {
		s.configured = false
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
			s = &server{warmupPending: !initial}
			h.servers[b.Name] = s
		} else if s.config.Address != b.Address {
			// Another server has this name now, so the measurements do not apply to it. Running grants remain counted.
			*s = server{running: s.running, probing: s.probing, warmupPending: true}
		}
		wasDrained := s.drained
		s.config, s.drained, s.configured = b, c.Drained(b), true
		if wasDrained && !s.drained && !s.ejected {
			s.warmupPending = true
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
		if !s.configured {
			s.drained = true
			h.removeUnconfigured(s)
		}
	}
}

// removeUnconfigured removes a server that is no longer configured once no grant runs there.
func (h *Home) removeUnconfigured(s *server) {
	if s.running == 0 && !s.configured {
		delete(h.servers, s.config.Name)
	}
}

// applyPlans computes the guaranteed and burst slots of each customer in each service. Guaranteed shares that sum to
// more than 100% are scaled down in proportion.
func (h *Home) applyPlans(c *state.Config) {
	sum := make(map[state.ServiceName]float64)
	for _, p := range h.pools {
		p.unusedGuaranteed = 0
		if svc := h.index.Service[p.name]; p.meanHold == 0 {
			p.meanHold = assumedShortHold
			if svc != nil && (svc.Kind == state.KindDownload || svc.Kind == state.KindStream) {
				p.meanHold = assumedLongHold
			}
		}
		for _, a := range p.accounts {
			a.allowed, a.weight, a.guaranteed, a.burst = false, minWeight, 0, 0
		}
	}
	forEachService := func(f func(*account, *state.PlanService)) {
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
	forEachService(func(a *account, ps *state.PlanService) { sum[ps.Service] += ps.SharePercent })
	forEachService(func(a *account, ps *state.PlanService) {
		slots := float64(a.pool.slots)
		a.allowed, a.weight = true, max(ps.SharePercent, minWeight)
		a.guaranteed = int(math.Floor(slots*ps.SharePercent/max(100, sum[ps.Service]) + 1e-9))
		if ps.BurstPercent > 0 {
			a.burst = max(1, int(math.Floor(slots*ps.BurstPercent/100+1e-9)))
		}
		a.pool.unusedGuaranteed += max(0, a.guaranteed-a.running)
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

// applyShifts updates the shifts into this region. A shift that is no longer in force is retained while its grants run.
func (h *Home) applyShifts(c *state.Config) {
	configured := make(map[state.ShiftName]bool)
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
		s.applyConfig(h.now, sc)
		configured[sc.Name] = true
		if h.shiftsFrom[sc.From] == nil {
			h.shiftsFrom[sc.From] = s
		}
	}
	for name, s := range h.shifts {
		if !configured[name] {
			s.inForce = false
			if s.running == 0 {
				delete(h.shifts, name)
			}
		}
	}
}

// refuseDisallowed refuses the waiting requests that the new configuration does not allow.
func (h *Home) refuseDisallowed() {
	var disallowed []*waiter
	for _, w := range h.deadlines {
		if h.permanentRefusal(w.request, w.account, w.lane.key) != message.RefusedNone {
			disallowed = append(disallowed, w)
		}
	}
	sort.Slice(disallowed, func(i, j int) bool { return disallowed[i].seq < disallowed[j].seq })
	for _, w := range disallowed {
		h.refuse(h.now, w.key, w.request.SentAt, h.permanentRefusal(w.request, w.account, w.lane.key), w.account, w.lane.key)
		h.drop(w)
	}
}
