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

// fleet runs cores of two regions with messages that arrive one step later.
type fleet struct {
	now    state.Instant
	cores  []*Core
	down   map[state.InstanceName]bool
	parted bool // the regions do not reach each other
	mail   []*message.Envelope
	keys   map[string]*homelease.Record
}

const step = 20 * time.Millisecond

func newFleet(perRegion int) *fleet {
	f := &fleet{down: map[state.InstanceName]bool{}, keys: map[string]*homelease.Record{}}
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
		mail := f.mail
		f.mail = nil
		for _, c := range f.cores {
			if f.down[c.self.Name] {
				continue
			}
			for _, e := range mail {
				if e.To == c.self.Name {
					c.Step(f.now, Received{Envelope: e})
				}
			}
			c.Tick(f.now)
			f.take(c)
		}
	}
}

func (f *fleet) take(c *Core) {
	r := c.Ready(f.now)
	for _, e := range r.Messages {
		if !f.parted || f.region(e.To) == c.self.Region {
			f.mail = append(f.mail, e)
		}
	}
	for _, op := range r.Store {
		got := Stored{Op: op, Record: f.keys[op.Key]}
		if got.Record != nil {
			got.Version = got.Record.Number
		}
		if op.Kind == StoreCAS && op.Version == got.Version {
			got.Version++
			got.Record = &homelease.Record{Region: op.Record.Region, Number: got.Version, Witnesses: op.Record.Witnesses}
			f.keys[op.Key] = got.Record
		}
		c.Step(f.now, got)
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

// homes returns who grants in a region.
func (f *fleet) homes(region state.RegionName) []state.InstanceName {
	var out []state.InstanceName
	for _, c := range f.cores {
		if c.self.Region == region && c.home != nil && !f.down[c.self.Name] {
			out = append(out, c.self.Name)
		}
	}
	return out
}

// live counts the running instances of a region whose snapshot names the instance as live.
func (f *fleet) live(in state.RegionName, name state.InstanceName) int {
	n := 0
	for _, c := range f.cores {
		for _, i := range c.snapshot(c.table.Instances()).Instances {
			if i.Name == name && i.Status == state.InstanceLive && c.self.Region == in && !f.down[c.self.Name] {
				n++
			}
		}
	}
	return n
}

// Guards against a dead home that keeps the region, and against look-ups that name it for longer than about 2 s.
func TestHomeDies(t *testing.T) {
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
	g.Expect(f.live("q", old) + f.live("r", old)).To(BeZero())
	f.run(10 * time.Second)
	g.Expect(f.keys[homelease.Key("q")].Witnesses).To(HaveLen(homelease.MaxWitnesses))
	g.Expect(f.keys[homelease.Key("q")].Witnesses).NotTo(ContainElement(old))
}

// Guards against a planned stop that leaves a gap, and against parted regions that stop or do not merge.
func TestPlannedStopAndPartition(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.run(4 * time.Second)
	old := f.homes("r")[0]
	for _, c := range f.cores {
		if c.self.Name == old {
			c.Step(f.now, Stopping{})
			f.take(c)
		}
	}
	g.Expect(f.homes("r")).To(BeEmpty())
	f.run(10 * step)
	g.Expect(f.homes("r")).To(HaveLen(1))
	g.Expect(f.homes("r")[0]).NotTo(Equal(old))
	g.Expect(f.live("q", old) + f.live("r", old)).To(BeZero())

	f.parted = true
	f.run(3 * time.Second)
	other := f.homes("q")[0]
	g.Expect(f.homes("r")).To(HaveLen(1))
	g.Expect(f.live("r", other)).To(BeZero())
	g.Expect(f.live("q", other)).To(Equal(4))
	f.parted = false
	f.run(4 * time.Second)
	g.Expect(f.live("r", other)).To(Equal(4))
}
