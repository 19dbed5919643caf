package reporting_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/coordination/message"
	"azurebridge/coordination/reporting"
	"azurebridge/state"
	"azurebridge/state/report"
)

// figures is the source of one instance: one request for each of n customers.
type figures int

func (f figures) Summary() *report.Part {
	p := &report.Part{}
	for i := range int(f) {
		var all [report.Buckets]uint64
		for b := range all {
			all[b] = 1 << 40
		}
		h := report.NewHistogram(all[:])
		fig := report.Figures{Requests: 1, FirstByte: h, Whole: h}
		p.Pairs = append(p.Pairs, report.Pair{Customer: state.CustomerName(fmt.Sprintf("c%03d", i)), Window: fig, Total: fig})
	}
	return p
}

// fleet connects the cores of several instances on a virtual clock.
type fleet struct {
	now      state.Instant
	view     reporting.View
	cores    map[state.InstanceName]*reporting.Core
	drop     func(from, to state.InstanceName, b message.Body) bool
	queue    []message.Envelope
	contacts map[[2]state.InstanceName]bool
}

func newFleet(regions, members, pairs int) *fleet {
	f := &fleet{cores: make(map[state.InstanceName]*reporting.Core), contacts: make(map[[2]state.InstanceName]bool)}
	f.drop = func(state.InstanceName, state.InstanceName, message.Body) bool { return false }
	for r := range regions {
		for m := range members {
			in := state.Instance{Name: state.InstanceName(fmt.Sprintf("r%d-%d", r, m)), Region: state.RegionName(fmt.Sprintf("r%d", r)), Status: state.InstanceLive}
			f.view.Instances = append(f.view.Instances, in)
			c := reporting.New(in)
			c.Source = figures(pairs)
			f.cores[in.Name] = c
		}
	}
	return f
}

// run advances the clock by d in steps and delivers messages.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		for name, c := range f.cores {
			c.Tick(f.now)
			for _, o := range c.TakeOutbound() {
				if !f.drop(name, o.To, o.Body) {
					f.queue = append(f.queue, message.Envelope{From: name, To: o.To, Body: o.Body})
					f.contacts[[2]state.InstanceName{name, o.To}] = true
				}
			}
		}
		queue := f.queue
		f.queue = nil
		for _, e := range queue {
			switch m := e.Body.(type) {
			case *message.ReportRequest:
				f.cores[e.To].Request(f.now, f.view, e.From, m)
			case *message.ReportPage:
				f.cores[e.To].Page(f.now, e.From, m)
			}
		}
	}
}

func (f *fleet) collect(t *testing.T) *report.Part {
	var got *report.Part
	calls := 0
	f.cores["r0-0"].Collect(f.now, f.view, time.Second, func(p *report.Part, err error) {
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		got, calls = p, calls+1
	})
	f.run(1100 * time.Millisecond)
	NewWithT(t).Expect(calls).To(Equal(1))
	return got
}

// Guards against instances that are missed or counted twice, and against an instance that contacts all others.
func TestCollectsEveryInstanceOnceThroughCollectors(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 4, 2)
	p := f.collect(t)
	g.Expect(p.Pairs).To(HaveLen(2))
	g.Expect(p.Pairs[0].Total.Requests).To(Equal(uint64(12)))
	g.Expect(p.Revisions[0].Instances).To(Equal(12))
	for _, s := range p.Sources {
		g.Expect([]int{s.Asked, s.Answered, s.MissingCount}).To(Equal([]int{4, 4, 0}), string(s.Region))
	}
	g.Expect(p.Sources).To(HaveLen(3))
	contacted := 0
	for pair := range f.contacts {
		if pair[0] == "r0-0" {
			contacted++
		}
	}
	g.Expect(contacted).To(Equal(3 + 2)) // the members of its region and one collector of each other region
}

// Guards against a report that waits forever for lost answers, does not name the instances that did not answer, or accepts a
// late answer.
func TestNamesMissingInstancesAndAsksSecondCollector(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 3, 1)
	var first state.InstanceName
	f.drop = func(from, to state.InstanceName, b message.Body) bool {
		if r, ok := b.(*message.ReportRequest); ok && r.Scope == message.ReportRegion && to[:2] == "r1" && first == "" {
			first = to // the first collector of r1 does not answer
		}
		return from == "r0-2" || (first != "" && from == first) || from[:2] == "r2"
	}
	p := f.collect(t)
	g.Expect(p.Sources).To(HaveLen(3))
	g.Expect(p.Sources[0].Missing).To(Equal([]state.InstanceName{"r0-2"}))
	g.Expect(p.Sources[1].Missing).To(Equal([]state.InstanceName{first}))
	g.Expect(p.Sources[1].Answered).To(Equal(2))
	g.Expect([]int{p.Sources[2].Answered, p.Sources[2].MissingCount}).To(Equal([]int{0, 3}))
	g.Expect(p.Pairs[0].Total.Requests).To(Equal(uint64(4)))
	c := f.cores["r0-0"]
	c.Page(f.now, "r0-2", &message.ReportPage{ID: 1, Pages: 1})
	g.Expect(c.Stats.Late).To(Equal(uint64(1)))
}

// Guards against lost, repeated and reordered pages that change a sum or keep a collection open.
func TestCollectionUnderLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(2, 3, 40)
		drops := rapid.SliceOfN(rapid.IntRange(0, 3), 64, 64).Draw(rt, "drops")
		n := 0
		f.drop = func(from, to state.InstanceName, b message.Body) bool {
			n++
			if drops[n%64] == 1 {
				f.queue = append(f.queue, message.Envelope{From: from, To: to, Body: b}) // repeated
			}
			return drops[n%64] == 0
		}
		p := f.collect(t)
		answered := 0
		for _, s := range p.Sources {
			answered += s.Answered
		}
		NewWithT(rt).Expect(p.Pairs[0].Total.Requests).To(Equal(uint64(answered)))
	})
}
