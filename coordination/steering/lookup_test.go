package steering_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/steering"
	"azurebridge/state"
	"azurebridge/state/blocks"
)

// largeFleet returns a snapshot of the target size: 2,800 instances in 38 regions.
func largeFleet() *state.Snapshot {
	s := &state.Snapshot{}
	for i := range 2800 {
		s.Instances = append(s.Instances, state.Instance{
			Name: state.InstanceName(fmt.Sprint("entry-", i)), Region: state.RegionName(fmt.Sprint("region-", i%38)), Status: state.InstanceLive,
		})
	}
	s.Live = state.NewLiveIndex(s.Instances, nil)
	return s
}

// Guards against an index that returns instances that are not live or not of the region, that moves callers of unchanged
// instances when one is lost, or that retains old positions when the list shifts, and against allocation.
func TestEntriesByIndex(t *testing.T) {
	g := NewWithT(t)
	s := largeFleet()
	const lost = 39 // in region-1
	after := *s
	after.Instances = append([]state.Instance(nil), s.Instances[1:]...) // one of region-0 is removed, so that all positions shift
	after.Instances[lost-1].Status = state.InstanceSuspect
	after.Live = state.NewLiveIndex(after.Instances, s.Live)
	moved := 0
	for caller := range uint64(2000) {
		old := steering.Entries(s, "region-1", caller*7919, nil)
		now := steering.Entries(&after, "region-1", caller*7919, nil)
		g.Expect(now).To(HaveLen(steering.MaxEntries))
		for i := range now {
			in := &after.Instances[now[i]]
			g.Expect(in.Region).To(Equal(state.RegionName("region-1")))
			g.Expect(in.Status).To(Equal(state.InstanceLive))
		}
		if old[0] == lost {
			moved++
			g.Expect(now[0]).To(Equal(old[1] - 1))
		} else {
			g.Expect(now[0]).To(Equal(old[0] - 1))
		}
	}
	g.Expect(moved).To(BeNumerically("~", 2000/74, 20))
	few := steering.Entries(s, "region-none", 5, nil)
	g.Expect(few).To(HaveLen(steering.MaxEntries), "callers of a region without instances get instances of other regions")
	var found [steering.MaxEntries]int
	g.Expect(testing.AllocsPerRun(100, func() { steering.Entries(s, "region-1", 5, found[:0]) })).To(BeZero())
}

// BenchmarkDecision measures one look-up decision at the target size: finding the region of the caller's address among 1.8
// million blocks, and the entry instances of the region.
func BenchmarkDecision(b *testing.B) {
	s := largeFleet()
	const targetBlocks = 1_800_000
	list := make([]blocks.Block, targetBlocks)
	for i := range list {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(i)*((1<<32)/targetBlocks))
		list[i] = blocks.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(a), 22).Masked(), Site: blocks.Site(1 + i%1700)}
	}
	t, err := blocks.New().With(list)
	if err != nil {
		b.Fatal(err)
	}
	names := make([]state.RegionName, 1701)
	for i := range names {
		names[i] = s.Instances[i%38].Region
	}
	regions := blocks.NewRegions(t, names)
	var found [steering.MaxEntries]int
	seed := uint32(3)
	b.ReportAllocs()
	for b.Loop() {
		seed = seed*1664525 + 1013904223
		r, ok := regions.Region(netip.AddrFrom4([4]byte{byte(seed >> 24), byte(seed >> 16), byte(seed >> 8), byte(seed)}))
		if !ok {
			r = "region-0"
		}
		steering.Entries(s, r, uint64(seed), found[:0])
	}
}
