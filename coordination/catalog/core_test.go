package catalog

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

const testStart = state.Instant(time.Minute)

func newTestCore() *Core {
	return NewCore(Options{Self: "front-1", Cold: quota.ColdLimit{Factor: 1.5, Tolerance: 5}})
}

func server(i int) Item {
	name := fmt.Sprintf("s-%02d", i)
	return Item{Key: "servers/" + name, Fact: &routing.Backend{
		Name: state.BackendName(name), Service: "search", Address: "10.0.0.1:80", Domain: state.DomainName(fmt.Sprintf("zone-%d", i%2)),
		Region: "north", Slots: 4,
	}}
}

func servers(n int) []Item {
	var out []Item
	for i := range n {
		out = append(out, server(i))
	}
	return out
}

func names(v *View) []string {
	var out []string
	if s := v.Services["search"]; s != nil {
		for _, m := range s.Servers {
			out = append(out, string(m.Name))
		}
	}
	return out
}

// Guards against requests to servers that left while this instance alone was cut off: a few missing entries are
// departures, not lapsed leases.
func TestFewMissingServersAreDroppedAfterACut(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{servers(20)})
	c.Step(testStart.Add(time.Second), StoreLost{})
	back := testStart.Add(13 * time.Second)
	c.Step(back, StoreRegained{})
	c.Step(back, Listed{servers(18)})
	g.Expect(names(c.View())).To(HaveLen(18))
}

// Guards against an empty list of servers after an outage in which the leases of live servers lapsed, and against servers
// that stay in use although they did not come back.
func TestLapsedServersStayInUseUntilTheyAreBack(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{servers(20)})
	c.Step(testStart, StoreLost{})
	back := testStart.Add(5 * time.Second)
	c.Step(back, StoreRegained{})
	c.Step(back, Listed{nil})
	g.Expect(names(c.View())).To(HaveLen(20))
	c.Step(back.Add(time.Second), Changed{servers(10)})
	due, ok := c.NextTick()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(back.Add(LapseGrace)))
	c.Tick(due)
	g.Expect(names(c.View())).To(HaveLen(10))
}
