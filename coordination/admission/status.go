package admission

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxStatusCustomers is the max number of customers that a status lists per service, those with most requests first.
const MaxStatusCustomers = 64

// Status returns the load of the region with its customers and the refusals by reason.
func (h *Home) Status() *message.RegionStatus {
	st := h.Summary()
	for i := range st.Services {
		st.Services[i].Customers = h.pools[st.Services[i].Service].customers()
	}
	st.Refused = refusalCounts(h.Stats.Refused)
	return st
}

// Summary returns the load without customers and refusals. It is small enough to be sent to all instances.
func (h *Home) Summary() *message.RegionStatus {
	st := &message.RegionStatus{
		Region: h.region, Epoch: h.epoch, Running: h.running, MaxRunning: h.maxRunning, Collecting: h.takeover.collecting,
	}
	for name, p := range h.pools {
		load := state.ServiceLoad{
			Service: name, Slots: p.slots, Running: p.running, Queued: p.queued,
			HoldTime:   time.Duration(p.meanHold * float64(time.Second)),
			ServiceP50: time.Duration(p.holdP50 * float64(time.Second)),
		}
		for _, s := range p.servers {
			if s.ejected {
				load.Ejected++
			}
			if s.slow {
				load.Slow++
			}
		}
		st.Services = append(st.Services, load)
	}
	for _, l := range h.links {
		st.Links = append(st.Links, state.LinkLoad{To: l.to, Reserved: l.reserved, Capacity: l.capacity})
	}
	for name, s := range h.shifts {
		// A copy, because allowed begins the ramp of a shift.
		view := *s
		st.Shifts = append(st.Shifts, state.ShiftLoad{
			Shift: name, Running: s.running, Allowed: view.allowed(h.now), Max: s.config.MaxRunning,
		})
	}
	sort.Slice(st.Services, func(i, j int) bool { return st.Services[i].Service < st.Services[j].Service })
	sort.Slice(st.Links, func(i, j int) bool { return st.Links[i].To < st.Links[j].To })
	sort.Slice(st.Shifts, func(i, j int) bool { return st.Shifts[i].Shift < st.Shifts[j].Shift })
	return st
}

func (p *pool) customers() []state.CustomerLoad {
	var list []state.CustomerLoad
	for name, a := range p.accounts {
		if a.running+a.queued == 0 && len(a.refused) == 0 {
			continue
		}
		list = append(list, state.CustomerLoad{
			Customer: name, Running: a.running, Queued: a.queued, Guaranteed: a.guaranteed, Burst: a.burst,
			Refused: refusalCounts(a.refused),
		})
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].Running+list[i].Queued, list[j].Running+list[j].Queued
		if a != b {
			return a > b
		}
		return list[i].Customer < list[j].Customer
	})
	return list[:min(len(list), MaxStatusCustomers)]
}

func refusalCounts(m map[message.Refusal]uint64) []state.RefusalCount {
	var list []state.RefusalCount
	for why, n := range m {
		list = append(list, state.RefusalCount{Reason: string(why), Count: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Reason < list[j].Reason })
	return list
}
