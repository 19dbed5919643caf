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

// next returns the revision after r.
func next(r Revision) Revision { return Revision{Era: r.Era, Number: r.Number + 1} }

func names(v *View) []string {
	var out []string
	if s := v.Services["search"]; s != nil {
		for _, m := range s.Servers {
			out = append(out, string(m.Name))
		}
	}
	return out
}

// Guards against requests to servers that left while only this instance was disconnected from the store: a few missing entries
// are departures, not expired leases.
func TestFewMissingServersAreRemovedAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(20)})
	c.Step(testStart.Add(time.Second), StoreLost{})
	recoveredAt := testStart.Add(13 * time.Second)
	c.Step(recoveredAt, StoreRecovered{})
	c.Step(recoveredAt, Listed{Items: servers(18)})
	g.Expect(names(c.View())).To(HaveLen(18))
}

// Guards against an empty list of servers after an outage in which the leases of live servers expired, and against servers
// that stay in use although they did not return.
func TestExpiredServersStayInUseUntilTheyReturn(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(20)})
	c.Step(testStart, StoreLost{})
	recoveredAt := testStart.Add(5 * time.Second)
	c.Step(recoveredAt, StoreRecovered{})
	c.Step(recoveredAt, Listed{Items: nil})
	g.Expect(names(c.View())).To(HaveLen(20))
	c.Step(recoveredAt.Add(time.Second), Changed{Items: servers(10)})
	due, ok := c.NextTick()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(recoveredAt.Add(OutageGrace)))
	c.Tick(due)
	g.Expect(names(c.View())).To(HaveLen(10))
}

// find returns a server of the core's next view.
func find(t *testing.T, v *View, name string) *Server {
	t.Helper()
	for _, s := range v.Services["search"].Servers {
		if string(s.Name) == name {
			return s
		}
	}
	t.Fatalf("server %s is not in the view", name)
	return nil
}

func peer(i int, region state.RegionName, domain state.DomainName) Item {
	name := fmt.Sprintf("front-%d", i)
	return Item{Key: "instances/" + name, Fact: &routing.Peer{Name: state.InstanceName(name), Region: region, Domain: domain}}
}

// Guards against full load on servers that became cold while their failure domain was evacuated.
func TestServersAreColdAfterAnEvacuationEnds(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	evacuation := Item{Key: "evacuate/zone-0", Fact: Evacuation{Domain: "zone-0"}}
	c.Step(testStart, Listed{Items: append(servers(4), peer(1, "north", "zone-0"), evacuation)})
	g.Expect(names(c.View())).To(Equal([]string{"s-01", "s-03"}))
	endedAt := testStart.Add(10 * time.Second)
	c.Step(endedAt, Changed{Items: []Item{{Key: evacuation.Key}}})
	v := c.View()
	g.Expect(names(v)).To(HaveLen(4))
	g.Expect(find(t, v, "s-00").LimitedUntil).To(Equal(endedAt.Add(AssumedColdTime)))
	g.Expect(find(t, v, "s-01").LimitedUntil).To(BeZero())
	c.Step(endedAt.Add(time.Second), Changed{Items: []Item{server(0)}})
	g.Expect(find(t, c.View(), "s-00").LimitedUntil).To(BeZero(), "its heartbeat reports that it is warm")
}

// Guards against full load on a server that reports that it is cold.
func TestColdServerIsLimitedUntilTheReportedTime(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	it := server(0)
	it.Fact.(*routing.Backend).ColdUntil = state.Instant(2 * time.Second)
	c.Step(testStart, Listed{Items: []Item{it, peer(1, "north", "zone-0")}})
	s := find(t, c.View(), "s-00")
	g.Expect(s.LimitedUntil).To(Equal(testStart.Add(2 * time.Second)))
	g.Expect(s.ColdSender).To(BeTrue(), "the only instance may send")
}

// Guards against continued requests to a failing server, and against an ejection that never ends.
func TestFailingServersAreEjectedForAWhile(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(2)})
	for range failuresToEject - 1 {
		c.Step(testStart, Observed{Server: "s-00", Outcome: Failed})
	}
	g.Expect(find(t, c.View(), "s-00").EjectedUntil).To(BeZero())
	c.Step(testStart, Observed{Server: "s-00", Outcome: Failed})
	g.Expect(find(t, c.View(), "s-00").EjectedUntil).To(Equal(testStart.Add(firstEjection)))
	c.Step(testStart, Observed{Server: "s-01", Outcome: Unreachable})
	s := find(t, c.View(), "s-01")
	g.Expect(s.EjectedUntil).To(Equal(testStart.Add(unreachableEjection)))
	g.Expect(s.LimitedUntil).To(Equal(testStart.Add(AssumedColdTime)), "it may return cold")
	later := testStart
	for range 20 {
		later = later.Add(time.Minute)
		c.Step(later, Observed{Server: "s-01", Outcome: Unreachable})
		g.Expect(find(t, c.View(), "s-01").EjectedUntil.Sub(later)).To(BeNumerically("<=", maxEjection))
	}
}

// Guards against an older configuration that replaces a newer one.
func TestTableVersionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	for _, version := range []routing.Version{3, 7, 5, 7, 1} {
		c.Step(testStart, Changed{Items: []Item{{Key: "config", Fact: &routing.Table{Version: version}}}})
	}
	g.Expect(c.View().Table.Version).To(Equal(routing.Version(7)))
	c.Step(testStart, Listed{Items: nil})
	g.Expect(c.View()).To(BeNil(), "nothing has changed")
}

// Guards against this instance's part of shared limits growing at once when other instances leave: their requests still count.
func TestInstancesStayCountedForAWhileAfterTheyLeave(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: []Item{peer(1, "north", "a"), peer(2, "north", "a"), peer(3, "south", "b")}})
	g.Expect(c.View().Instances).To(Equal(3))
	c.Step(testStart.Add(time.Second), Changed{Items: []Item{{Key: "instances/front-3"}}})
	v := c.View()
	g.Expect(v.Instances).To(Equal(3))
	g.Expect(v.Peers).To(HaveLen(2))
	due, ok := c.NextTick()
	g.Expect(ok).To(BeTrue())
	c.Tick(due)
	g.Expect(c.View().Instances).To(Equal(2))
}

// Guards against callers that are needlessly sent to another region or failure domain than their own.
func TestEntriesPreferTheCallersDomainAndRegion(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: []Item{
		peer(1, "north", "a"), peer(2, "north", "a"), peer(3, "north", "b"), peer(4, "south", "c"),
	}})
	v := c.View()
	count := func(domain state.DomainName, region state.RegionName) int { return len(v.Entries(domain, region)) }
	g.Expect(count("a", "north")).To(Equal(2))
	g.Expect(count("b", "north")).To(Equal(3), "one instance alone is not enough")
	g.Expect(count("c", "south")).To(Equal(1), "no other region while the caller's region has an instance")
	g.Expect(count("d", "west")).To(Equal(4))
}

// Guards against facts missing from the store content that another instance requests.
func TestCollectReturnsAllListedItems(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	items := append(servers(2), peer(1, "north", "a"),
		Item{Key: "config", Fact: &routing.Table{Version: 3}}, Item{Key: "evacuate/x", Fact: Evacuation{Domain: "x"}},
		Item{Key: "key", Fact: FleetKey("secret")})
	c.Step(testStart, Listed{Revision: Revision{Number: 5}, Items: items})
	reply := make(chan StoreContent, 1)
	c.Step(testStart, Collect{Reply: reply})
	content := <-reply
	g.Expect(content.Items).To(ConsistOf(items))
	g.Expect(content.Revision).To(Equal(Revision{Number: 5}))
}

// Guards against a log entry for each server when an instance starts and lists hundreds of them.
func TestManyNewServersShareOneLogEntry(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(300)})
	g.Expect(c.TakeLogEntries()).To(ConsistOf(LogEntry{"backend servers listed", []any{"servers", 300}}))
	c.Step(testStart, Changed{Items: []Item{server(300)}})
	g.Expect(c.TakeLogEntries()).To(HaveLen(1))
}

// Guards against a healthy server being limited as cold when single responses of it are lost: only a server that accepts no
// connection may have restarted.
func TestLostAnswersDoNotMakeAServerCold(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(2)})
	c.Step(testStart, Observed{Server: "s-00", Outcome: Broken})
	g.Expect(find(t, c.View(), "s-00").LimitedUntil).To(BeZero())
}

// draining returns the entry of a draining server.
func draining(i int) Item {
	it := server(i)
	b := *it.Fact.(*routing.Backend)
	b.Draining = true
	it.Fact = &b
	return it
}

// Guards against requests to a server that has left, after an older state of the store replaced a newer one: it may come from
// another instance that is behind, or from a listing that relayed changes have overtaken.
func TestOlderStateDoesNotReplaceANewerOne(t *testing.T) {
	for _, older := range []Event{
		Listed{Source: FromInstance, Revision: Revision{Number: 7}, Items: servers(2)},
		Changed{Source: FromReader, After: Revision{Number: 5}, Revision: Revision{Number: 7}, Items: servers(1)},
	} {
		g := NewWithT(t)
		c := newTestCore()
		c.Step(testStart, Listed{Revision: Revision{Number: 6}, Items: servers(2)})
		c.Step(testStart, Changed{After: Revision{Number: 6}, Revision: Revision{Number: 9}, Items: []Item{draining(0)}})
		c.Step(testStart, older)
		g.Expect(names(c.View())).To(Equal([]string{"s-01"}))
		g.Expect(c.View()).To(BeNil(), "an older state changes nothing")
	}
}

// Guards against a server that stays in use after it has left, because its repeated departures in one set of changes were
// counted as a mass expiry of leases.
func TestRepeatedDeparturesOfOneServerAreNoMassExpiry(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Items: servers(massExpiryMinCount)})
	var changes []Item
	for range massExpiryMinCount {
		changes = append(changes, server(0), Item{Key: server(0).Key})
	}
	c.Step(testStart, Changed{Revision: Revision{Number: 2}, Items: changes})
	g.Expect(names(c.View())).To(HaveLen(massExpiryMinCount - 1))
}
