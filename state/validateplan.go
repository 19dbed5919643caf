package state

import (
	"fmt"
	"sort"
	"strings"
)

func (v *validator) checkPlans() {
	for i := range v.c.Plans {
		p := &v.c.Plans[i]
		name := string(p.Name)
		v.checkName(SectionPlan, name)
		if v.plans[p.Name] != nil {
			v.add(SectionPlan, name, "", "", "duplicate plan")
		}
		v.plans[p.Name] = p
		regions := make(map[RegionName]bool)
		for _, r := range p.Regions {
			v.checkRegionExists(SectionPlan, name, "Regions", r)
			if regions[r] {
				v.add(SectionPlan, name, "Regions", string(r), "region %q is listed twice", r)
			}
			regions[r] = true
		}
		services := make(map[ServiceName]bool)
		for _, s := range p.Services {
			v.checkPlanService(name, s)
			if services[s.Service] {
				v.add(SectionPlan, name, "Services", string(s.Service), "service %q is listed twice", s.Service)
			}
			services[s.Service] = true
		}
	}
}

func (v *validator) checkPlanService(plan string, s PlanService) {
	item := string(s.Service)
	v.checkServiceExists(SectionPlan, plan, "Services", s.Service)
	if !(s.SharePercent >= 0 && s.SharePercent <= 100) {
		v.add(SectionPlan, plan, "SharePercent", item, "%v%% is not in 0%% to 100%%", s.SharePercent)
	}
	switch {
	case !(s.BurstPercent >= 0 && s.BurstPercent <= 100):
		v.add(SectionPlan, plan, "BurstPercent", item, "%v%% is not in 0%% to 100%%", s.BurstPercent)
	case s.BurstPercent < s.SharePercent:
		v.add(SectionPlan, plan, "BurstPercent", item, "burst is below share")
	}
	if s.LatencyTarget < 0 || s.LatencyTarget > MaxServiceTime {
		v.add(SectionPlan, plan, "LatencyTarget", item, "%s is not in 0s to %s", s.LatencyTarget, MaxServiceTime)
	}
}

func (v *validator) checkCustomers() {
	seen := make(map[CustomerName]bool)
	for _, cu := range v.c.Customers {
		name := string(cu.Name)
		v.checkName(SectionCustomer, name)
		if seen[cu.Name] {
			v.add(SectionCustomer, name, "", "", "duplicate customer")
		}
		seen[cu.Name] = true
		if v.plans[cu.Plan] == nil {
			v.add(SectionCustomer, name, "Plan", "", "unknown plan %q", cu.Plan)
		}
	}
}

// checkShareSums checks that the guaranteed shares of all customers of a service sum to at most 100% in each region.
// Invariant region-limit depends on it. The fault names the plan whose customers together have the largest share.
func (v *validator) checkShareSums() {
	customers := make(map[PlanName]int)
	for _, cu := range v.c.Customers {
		customers[cu.Plan]++
	}
	type regionService struct {
		region  RegionName
		service ServiceName
	}
	type sum struct {
		total, largest float64
		plan           PlanName
	}
	sums := make(map[regionService]*sum)
	for i := range v.c.Plans {
		p := &v.c.Plans[i]
		for _, s := range p.Services {
			planShare := s.SharePercent * float64(customers[p.Name])
			for _, r := range p.Regions {
				t := sums[regionService{r, s.Service}]
				if t == nil {
					t = &sum{}
					sums[regionService{r, s.Service}] = t
				}
				if t.total += planShare; planShare > t.largest {
					t.largest, t.plan = planShare, p.Name
				}
			}
		}
	}
	type fault struct {
		plan    PlanName
		service ServiceName
		total   float64
	}
	regions := make(map[fault][]string)
	for key, t := range sums {
		if t.total > 100+shareTolerance {
			f := fault{t.plan, key.service, t.total}
			regions[f] = append(regions[f], string(key.region))
		}
	}
	var found Faults
	for f, names := range regions {
		sort.Strings(names)
		found = append(found, Fault{SectionPlan, string(f.plan), "SharePercent", string(f.service), fmt.Sprintf(
			"the shares of all customers of service %q sum to %.6g%% in %s; at most 100%% can be guaranteed", f.service, f.total, strings.Join(names, ", "))})
	}
	sort.Slice(found, func(i, j int) bool { return found[i].String() < found[j].String() })
	for _, f := range found {
		v.add(f.Kind, f.Name, f.Field, f.Item, "%s", f.Reason)
	}
}

func (v *validator) checkDrains() {
	seen := make(map[Drain]bool)
	for _, d := range v.c.Drains {
		name := string(d.Kind) + " " + d.Name
		if seen[d] {
			v.add(SectionDrain, name, "", "", "duplicate drain")
		}
		seen[d] = true
		known := false
		switch d.Kind {
		case DrainBackend:
			known = v.backends[BackendName(d.Name)]
		case DrainDomain:
			_, known = v.domains[DomainName(d.Name)]
		case DrainRegion:
			known = v.regions[RegionName(d.Name)]
		default:
			v.add(SectionDrain, name, "Kind", "", "unknown kind %q; use backend, domain or region", d.Kind)
			continue
		}
		if !known {
			v.add(SectionDrain, name, "", "", "unknown %s %q", d.Kind, d.Name)
		}
	}
}

func (v *validator) checkShifts() {
	seen := make(map[ShiftName]bool)
	for _, s := range v.c.Shifts {
		name := string(s.Name)
		v.checkName(SectionShift, name)
		if seen[s.Name] {
			v.add(SectionShift, name, "", "", "duplicate shift")
		}
		seen[s.Name] = true
		v.checkRegionExists(SectionShift, name, "From", s.From)
		v.checkRegionExists(SectionShift, name, "To", s.To)
		if s.From == s.To {
			v.add(SectionShift, name, "To", "", "a shift must connect two different regions")
		}
		v.checkRange(SectionShift, name, "MaxRunning", int64(s.MaxRunning), 0, MaxRunningLimit)
		v.checkRange(SectionShift, name, "RampPerSecond", int64(s.RampPerSecond), 0, MaxRunningLimit)
	}
}
