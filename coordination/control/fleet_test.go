package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/homelease"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// fleet runs the cores of two regions. Messages arrive one step after they were sent.
type fleet struct {
	now         state.Instant
	cores       []*Core
	down        map[state.InstanceName]bool
	partitioned bool // messages between the regions are lost
	inFlight    []*message.Envelope
	records     map[string]*homelease.Record
}

const step = 20 * time.Millisecond

func newFleet(perRegion int) *fleet {
	f := &fleet{down: map[state.InstanceName]bool{}, records: map[string]*homelease.Record{}}
	var list []state.Instance
	for i := range 2 * perRegion {
		list = append(list, state.Instance{
			Name: state.InstanceName(fmt.Sprintf("e%02d", i)), Region: state.RegionName([]string{"q", "r"}[i%2]),
			Domain: state.DomainName(fmt.Sprint(i % 4)), Incarnation: 1 << 30, Status: state.InstanceLive,
		})
	}
	for _, in := range list {
		c := NewCore(in)
		c.Step(0, Listed{Instances: list})
		f.cores = append(f.cores, c)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(step)
		arrived := f.inFlight
		f.inFlight = nil
		for _, c := range f.cores {
			if f.down[c.self.Name] {
				continue
			}
			for _, e := range arrived {
				if e.To == c.self.Name {
					c.Step(f.now, Received{Envelope: e})
				}
			}
			c.Tick(f.now)
			f.processReady(c)
		}
	}
}

func (f *fleet) processReady(c *Core) {
	r := c.Ready(f.now)
	for _, e := range r.Messages {
		if !f.partitioned || f.region(e.To) == c.self.Region {
			f.inFlight = append(f.inFlight, e)
		}
	}
	for _, op := range r.Store {
		result := Stored{Op: op, Record: f.records[op.Key]}
		if result.Record != nil {
			result.Version = result.Record.Number
		}
		if op.Kind == StoreCAS && op.Version == result.Version {
			result.Version++
			result.Record = &homelease.Record{Region: op.Record.Region, Number: result.Version, Witnesses: op.Record.Witnesses}
			f.records[op.Key] = result.Record
		}
		c.Step(f.now, result)
	}
}

func (f *fleet) region(n state.InstanceName) state.RegionName {
	for _, c := range f.cores {
		if c.self.Name == n {
			return c.self.Region
		}
	}
	return ""
}

// homes returns the running instances that act as home of a region.
func (f *fleet) homes(region state.RegionName) []state.InstanceName {
	var out []state.InstanceName
	for _, c := range f.cores {
		if c.self.Region == region && c.home != nil && !f.down[c.self.Name] {
			out = append(out, c.self.Name)
		}
	}
	return out
}

// countLive returns how many running instances of a region list the named instance as live in their snapshots.
func (f *fleet) countLive(region state.RegionName, name state.InstanceName) int {
	n := 0
	for _, c := range f.cores {
		for _, i := range c.snapshot(c.table.Instances()).Instances {
			if i.Name == name && i.Status == state.InstanceLive && c.self.Region == region && !f.down[c.self.Name] {
				n++
			}
		}
	}
	return n
}

// Guards against a region without a new home after its home died, and against snapshots, which look-ups use, that list the
// dead home as live for longer than about 2 s.
func TestFailedHomeIsReplaced(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6)
	f.run(4 * time.Second)
	g.Expect(f.homes("q")).To(HaveLen(1))
	g.Expect(f.homes("r")).To(HaveLen(1))
	old := f.homes("q")[0]
	for _, c := range f.cores {
		h, _ := c.homeOf("q")
		g.Expect(h).To(Equal(old), "at %s", c.self.Name)
	}
	f.down[old] = true
	f.run(time.Second)
	g.Expect(f.homes("q")).To(HaveLen(1))
	f.run(time.Second)
	g.Expect(f.countLive("q", old) + f.countLive("r", old)).To(BeZero())
	f.run(10 * time.Second)
	g.Expect(f.records[homelease.Key("q")].Witnesses).To(HaveLen(homelease.MaxWitnesses))
	g.Expect(f.records[homelease.Key("q")].Witnesses).NotTo(ContainElement(old))
}

// Guards against a planned stop that leaves its region without a home, and against two regions that, while they are
// partitioned, have no home or list each other's instances as live, or that do not list them as live again afterwards.
func TestPlannedStopAndPartition(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.run(4 * time.Second)
	old := f.homes("r")[0]
	for _, c := range f.cores {
		if c.self.Name == old {
			c.Step(f.now, Stopping{})
			f.processReady(c)
		}
	}
	g.Expect(f.homes("r")).To(BeEmpty())
	f.run(10 * step)
	g.Expect(f.homes("r")).To(HaveLen(1))
	g.Expect(f.homes("r")[0]).NotTo(Equal(old))
	g.Expect(f.countLive("q", old) + f.countLive("r", old)).To(BeZero())

	f.partitioned = true
	f.run(3 * time.Second)
	other := f.homes("q")[0]
	g.Expect(f.homes("r")).To(HaveLen(1))
	g.Expect(f.countLive("r", other)).To(BeZero())
	g.Expect(f.countLive("q", other)).To(Equal(4))
	f.partitioned = false
	f.run(4 * time.Second)
	g.Expect(f.countLive("r", other)).To(Equal(4))
}
