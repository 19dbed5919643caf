package report

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/state"
)

// Build makes the report at the instant now from the merged part p of the fleet and the snapshot s of the instance that serves
// the report. Every region, link and promise of the configuration has a row, also when no data was received for it.
func Build(s *state.Snapshot, p *Part, now state.Instant, wall time.Time) *Report {
	r := &Report{
		Time: wall, Instance: s.Self.Name, Region: s.Self.Region, Revision: s.Config.Revision,
		Coverage: []CoverageRow{}, Regions: []RegionRow{}, Links: []LinkRow{}, Shifts: []ShiftRow{}, Drains: []DrainRow{}, Customers: []CustomerRow{},
		Services: []ServiceTotal{},
	}
	for _, c := range p.Sources {
		r.Coverage = append(r.Coverage, CoverageRow{
			Region: c.Region, Collector: c.Collector, Asked: c.Asked, Answered: c.Answered,
			Missing: append([]state.InstanceName{}, c.Missing...), MissingCount: c.MissingCount, AgeMs: ms(c.Age),
		})
	}
	views := latestLoads(s, p, now)
	r.addRegions(s, views)
	r.addLinks(s.Config, p, views)
	r.addShifts(s.Config, views)
	for _, d := range s.Config.Drains {
		r.Drains = append(r.Drains, DrainRow{Kind: d.Kind, Name: d.Name, Running: r.runningInDrain(d)})
	}
	r.addCustomers(s.Config, s.Index, p)
	r.addServices(s.Config, p)
	r.setFleet(s, p)
	return r
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// latestLoads returns the latest load of each region, from the part or the snapshot.
func latestLoads(s *state.Snapshot, p *Part, now state.Instant) map[state.RegionName]*RegionView {
	views := make(map[state.RegionName]*RegionView)
	for i := range p.Regions {
		views[p.Regions[i].Load.Region] = &p.Regions[i]
	}
	for name, load := range s.Loads {
		if v := views[name]; v == nil || now.Sub(load.ReportedAt) < v.Age {
			views[name] = &RegionView{Load: load, Age: now.Sub(load.ReportedAt)}
		}
	}
	return views
}

func (r *Report) addRegions(s *state.Snapshot, views map[state.RegionName]*RegionView) {
	for _, region := range s.Config.Regions {
		view := views[region.Name]
		row := RegionRow{Region: region.Name, MaxRunning: region.MaxRunning, AgeMs: -1, Drained: s.Config.RegionDrained(region.Name), Services: []ServiceRow{}}
		if view != nil {
			row.fill(view)
		}
		r.Regions = append(r.Regions, row)
	}
}

// fill copies the figures that the region's home reported. A part holds the whole state.RegionLoad, so a further figure of it
// needs only a line here.
func (row *RegionRow) fill(v *RegionView) {
	l := &v.Load
	row.Home, row.Epoch, row.AgeMs, row.Running = l.Home, l.Epoch, ms(v.Age), l.Running
	for _, sv := range l.Services {
		row.Slots += sv.Slots
		row.Queued += sv.Queued
		row.Headroom += max(sv.Slots-sv.Running, 0)
		row.Services = append(row.Services, ServiceRow{
			Service: sv.Service, Slots: sv.Slots, Running: sv.Running, Queued: sv.Queued, Headroom: max(sv.Slots-sv.Running, 0),
		})
	}
	if row.MaxRunning > 0 {
		row.Headroom = min(row.Headroom, max(row.MaxRunning-row.Running, 0))
	}
	if row.Drained {
		row.Headroom = 0
	}
}

func (r *Report) addShifts(c *state.Config, views map[state.RegionName]*RegionView) {
	for _, sh := range c.Shifts {
		row := ShiftRow{Shift: sh.Name, From: sh.From, To: sh.To, Cap: sh.MaxRunning, Ramp: sh.RampPerSecond}
		if v := views[sh.To]; v != nil {
			for _, l := range v.Load.Shifts {
				if l.Shift == sh.Name {
					row.Allowed, row.Running = &l.Allowed, &l.Running
				}
			}
		}
		r.Shifts = append(r.Shifts, row)
	}
}

func (r *Report) addLinks(c *state.Config, p *Part, views map[state.RegionName]*RegionView) {
	for _, l := range c.Links {
		row := LinkRow{From: l.From, To: l.To, Capacity: l.BytesPerSecond}
		for _, u := range p.Links {
			if u.From == l.From && u.To == l.To && u.Length > 0 {
				row.Used = int64(float64(u.Bytes) / u.Length.Seconds())
			}
		}
		used := row.Used
		if v := views[l.From]; v != nil {
			for _, load := range v.Load.Links {
				if load.To == l.To {
					row.Reserved, used = &load.Reserved, max(used, load.Reserved)
				}
			}
		}
		row.Headroom = max(row.Capacity-used, 0)
		r.Links = append(r.Links, row)
	}
}

func (r *Report) runningInDrain(d state.Drain) *int {
	for i := range r.Regions {
		if d.Kind == state.DrainRegion && d.Name == string(r.Regions[i].Region) && r.Regions[i].AgeMs >= 0 {
			return &r.Regions[i].Running
		}
	}
	return nil
}

// addCustomers adds one row for each promise, and one for each pair that has traffic but no promise.
func (r *Report) addCustomers(c *state.Config, x *state.Index, p *Part) {
	remaining := make(map[[2]string]*Pair, len(p.Pairs))
	for i := range p.Pairs {
		remaining[[2]string{string(p.Pairs[i].Customer), string(p.Pairs[i].Service)}] = &p.Pairs[i]
	}
	for _, cu := range c.Customers {
		plan := x.Plan[cu.Plan]
		if plan == nil {
			continue
		}
		for _, sv := range plan.Services {
			key := [2]string{string(cu.Name), string(sv.Service)}
			pair := remaining[key]
			if pair == nil {
				pair = &Pair{Customer: cu.Name, Service: sv.Service}
			}
			delete(remaining, key)
			r.Customers = append(r.Customers, customerRow(pair, cu.Plan, x.Service[sv.Service], sv.LatencyTarget))
		}
	}
	for _, pair := range remaining {
		r.Customers = append(r.Customers, customerRow(pair, "", x.Service[pair.Service], 0))
	}
	slices.SortFunc(r.Customers, func(a, b CustomerRow) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
}

// measure returns the latency that a service's promise applies to. A download or stream takes as long as the paced rate of its
// body requires, so its promise applies to the first byte.
func measure(service *state.Service) string {
	if service != nil && (service.Kind == state.KindDownload || service.Kind == state.KindStream) {
		return MeasureFirstByte
	}
	return MeasureWhole
}

// addServices adds the merged figures of all customers for each service.
func (r *Report) addServices(c *state.Config, p *Part) {
	for i := range c.Services {
		var window, total Figures
		for j := range p.Pairs {
			if p.Pairs[j].Service == c.Services[i].Name {
				window, total = MergeFigures(window, p.Pairs[j].Window), MergeFigures(total, p.Pairs[j].Total)
			}
		}
		r.Services = append(r.Services, ServiceTotal{c.Services[i].Name, measure(&c.Services[i]), achieved(&window), achieved(&total)})
	}
}

// customerRow returns the row of a pair, with the verdict on its promised p99. Without a promise, promised is 0.
func customerRow(pair *Pair, plan state.PlanName, service *state.Service, promised time.Duration) CustomerRow {
	row := CustomerRow{
		Customer: pair.Customer, Plan: plan, Service: pair.Service, PromisedMs: ms(promised),
		Window: achieved(&pair.Window), Total: achieved(&pair.Total),
	}
	row.Measure = measure(service)
	switch q := row.WindowQuantiles(); {
	case q.Count == 0:
		row.Verdict = NoTraffic
	case promised == 0:
		row.Verdict = NoPromise
	case q.P99 <= row.PromisedMs:
		row.Verdict = PromiseKept
	default:
		row.Verdict = PromiseMissed
	}
	return row
}

// WindowQuantiles returns the quantiles over the window of the latency that Measure names.
func (row *CustomerRow) WindowQuantiles() Quantiles { return row.Window.QuantilesOf(row.Measure) }

// QuantilesOf returns the quantiles of the latency that measure names.
func (a *Achieved) QuantilesOf(measure string) Quantiles {
	if measure == MeasureFirstByte {
		return a.FirstByte
	}
	return a.Whole
}

func achieved(f *Figures) Achieved {
	return Achieved{
		Seconds: f.Length.Seconds(), Requests: f.Requests, Admitted: f.Admitted, Ran: f.Ran, NotRun: f.NotRun, Unknown: f.Unknown,
		Cut: f.Cut, Refused: append([]Reason{}, f.Refused...), FirstByte: quantiles(f.FirstByte), Whole: quantiles(f.Whole),
	}
}

func quantiles(h Histogram) Quantiles {
	return Quantiles{Count: h.Count(), P50: ms(h.Quantile(0.5)), P95: ms(h.Quantile(0.95)), P99: ms(h.Quantile(0.99))}
}

func (r *Report) setFleet(s *state.Snapshot, p *Part) {
	counts := make(map[state.InstanceStatus]int)
	for i := range s.Instances {
		counts[s.Instances[i].Status]++
	}
	r.Fleet = Fleet{Statuses: []StatusCount{}, Revisions: append([]RevisionCount{}, p.Revisions...), Overflow: p.Overflow}
	for _, st := range []state.InstanceStatus{state.InstanceLive, state.InstanceLeaving, state.InstanceSuspect, state.InstanceDead} {
		if counts[st] > 0 {
			r.Fleet.Statuses = append(r.Fleet.Statuses, StatusCount{st, counts[st]})
		}
	}
}
