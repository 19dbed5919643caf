package steering_test

import (
	"fmt"
	"testing"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/steering"
	"azurebridge/state"
)

// fleet returns a snapshot of the present size: 22 instances in 3 regions.
func fleet() *state.Snapshot {
	regions := []state.RegionName{"a", "b", "c"}
	cfg := &state.Config{
		Services:  []state.Service{{Name: "s"}},
		Plans:     []state.Plan{{Name: "p", Regions: regions, Services: []state.PlanService{{Service: "s"}}}},
		Customers: []state.Customer{{Name: "c", Plan: "p"}},
	}
	s := &state.Snapshot{Config: cfg, Loads: map[state.RegionName]state.RegionLoad{}}
	for i, r := range regions {
		cfg.Regions = append(cfg.Regions, state.Region{Name: r})
		s.Loads[r] = state.RegionLoad{Region: r, Services: []state.ServiceLoad{{Service: "s", Slots: 10, Running: i}}}
	}
	s.Index = state.NewIndex(cfg)
	for i := range 22 {
		s.Instances = append(s.Instances, state.Instance{
			Name: state.InstanceName(fmt.Sprintf("entry-%02d", i)), Region: regions[i%3], Status: state.InstanceLive,
		})
	}
	s.Self = s.Instances[0]
	return s
}

func BenchmarkEntries(b *testing.B) {
	s := fleet()
	var found [steering.MaxEntries]int
	b.ReportAllocs()
	caller := uint64(0)
	for b.Loop() {
		caller += 0x9E3779B97F4A7C15
		steering.Entries(s, "a", caller, found[:0])
	}
}

func BenchmarkRegions(b *testing.B) {
	s := fleet()
	var found [steering.MaxTargets]admission.Target
	b.ReportAllocs()
	for b.Loop() {
		steering.Regions(s, "c", "s", found[:0])
	}
}
