package report_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/state"
	"azurebridge/state/report"
)

func histogram(t *rapid.T) report.Histogram {
	return report.NewHistogram(rapid.SliceOfN(rapid.Uint64Range(0, 3), report.Buckets, report.Buckets).Draw(t, "counts"))
}

func figures(t *rapid.T) report.Figures {
	return report.Figures{
		Length: time.Duration(rapid.IntRange(0, 60).Draw(t, "length")), Requests: rapid.Uint64Range(0, 9).Draw(t, "requests"),
		Refused: []report.Reason{{Why: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "why"), Count: 1}}, Whole: histogram(t),
	}
}

func part(t *rapid.T) *report.Part {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	missing := rapid.SliceOfNDistinct(rapid.IntRange(100, 199), 0, 50, rapid.ID).Draw(t, "missing")
	slices.Sort(missing)
	src := report.Source{Region: state.RegionName(name.Draw(t, "region")), Asked: 2, MissingCount: len(missing)}
	for _, m := range missing {
		src.Missing = append(src.Missing, state.InstanceName(fmt.Sprint(m)))
	}
	return &report.Part{
		Pairs:   []report.Pair{{Customer: state.CustomerName(name.Draw(t, "customer")), Window: figures(t), Total: figures(t)}},
		Sources: []report.Source{src}, Links: []report.LinkUse{{From: "a", To: state.RegionName(name.Draw(t, "to")), Bytes: 4}},
		Regions: []report.RegionView{{Load: state.RegionLoad{Region: "r", Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"),
			Home: state.InstanceName(name.Draw(t, "home"))}, Age: time.Duration(rapid.IntRange(0, 2).Draw(t, "age"))}},
		Revisions: []report.RevisionCount{{Revision: state.Revision(rapid.IntRange(1, 3).Draw(t, "revision")), Instances: 1}},
	}
}

// Guards against a report that depends on the order in which parts arrive or on the shape of the hierarchy.
func TestMergeIsAssociativeAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b, c := part(t), part(t), part(t)
		g.Expect(report.Merge(a, b)).To(Equal(report.Merge(b, a)))
		all := report.Merge(report.Merge(a, b), c)
		g.Expect(all).To(Equal(report.Merge(a, report.Merge(b, c))))
		g.Expect(all.Valid()).To(BeTrue())
	})
}

// Guards against quantiles that are off by more than the documented bound, also after merging and subtracting.
func TestQuantileErrorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		all := rapid.SliceOfN(rapid.Int64Range(int64(report.MinLatency), int64(report.MaxLatency)), 1, 200).Draw(t, "latencies")
		var parts [2][report.Buckets]uint64
		for i, d := range all {
			parts[i%2][report.Bucket(time.Duration(d))]++
		}
		a, b := report.NewHistogram(parts[0][:]), report.NewHistogram(parts[1][:])
		h := a.Merge(b)
		g.Expect(h.Since(a)).To(Equal(b))
		slices.Sort(all)
		for _, q := range []float64{0.5, 0.95, 0.99, 1} {
			exact := float64(all[int(math.Ceil(q*float64(len(all))))-1])
			g.Expect(float64(h.Quantile(q))).To(BeNumerically("~", exact, exact*report.MaxError), "quantile %v", q)
		}
	})
}

// Guards against a promise that is compared with the wrong latency, and against missing rows where no data was received.
func TestBuildComparesWithPromise(t *testing.T) {
	g := NewWithT(t)
	c := &state.Config{
		Regions:  []state.Region{{Name: "r", MaxRunning: 10}, {Name: "q"}},
		Links:    []state.Link{{From: "q", To: "r", BytesPerSecond: 1000}},
		Services: []state.Service{{Name: "s", Kind: state.KindLookup}, {Name: "d", Kind: state.KindDownload}},
		Plans: []state.Plan{{Name: "p", Services: []state.PlanService{
			{Service: "s", LatencyTarget: 10 * time.Millisecond}, {Service: "d", LatencyTarget: 10 * time.Millisecond}}}},
		Customers: []state.Customer{{Name: "c", Plan: "p"}},
	}
	s := &state.Snapshot{Config: c, Index: state.NewIndex(c), Instances: []state.Instance{{Status: state.InstanceLive}}}
	var slow, fast [report.Buckets]uint64
	slow[report.Bucket(time.Second)], fast[report.Bucket(time.Millisecond)] = 1, 1
	f := report.Figures{FirstByte: report.NewHistogram(fast[:]), Whole: report.NewHistogram(slow[:])}
	r := report.Build(s, &report.Part{
		Pairs:   []report.Pair{{Customer: "c", Service: "d", Window: f}, {Customer: "c", Service: "s", Window: f}},
		Links:   []report.LinkUse{{From: "q", To: "r", Length: 2 * time.Second, Bytes: 800}},
		Regions: []report.RegionView{{Load: state.RegionLoad{Region: "r", Running: 7, Services: []state.ServiceLoad{{Service: "s", Slots: 20, Running: 7}}}}},
	}, 0, time.Time{})
	g.Expect(r.Customers).To(HaveLen(2))
	g.Expect([]report.Verdict{r.Customers[0].Verdict, r.Customers[1].Verdict}).To(Equal([]report.Verdict{report.PromiseKept, report.PromiseMissed}))
	g.Expect(r.Regions[0].Headroom).To(Equal(3))
	g.Expect(r.Regions[1].AgeMs).To(Equal(-1.0))
	g.Expect(r.Links[0].Headroom).To(Equal(int64(600)))
}
