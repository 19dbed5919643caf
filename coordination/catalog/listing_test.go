package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// eraOf returns a revision of an era.
func eraOf(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// beat returns the entry of a server's process, started at born, with the number of its heartbeat.
func beat(i int, born, number int64) Item {
	it := server(i)
	it.Fact.(*routing.Backend).Born, it.Fact.(*routing.Backend).Beat = born, number
	return it
}

// Guards against a server, an evacuation or an instance of the lost seconds that drops out of the view until it is written again, and
// against one that stays although nobody does.
func TestEntriesThatACopyLacksAreRetainedForATime(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	evacuation := Item{Key: "evacuate/zone-1", Fact: Evacuation{Domain: "zone-1"}}
	peer := Item{Key: "instances/front-2", Fact: &routing.Peer{Name: "front-2"}}
	c.Step(testStart, Listed{Revision: eraOf(1, 50), Items: append(servers(4), draining(4), evacuation, peer)})
	c.Step(testStart, Listed{Revision: eraOf(2, 20), Items: servers(1)})
	v := c.View()
	g.Expect(names(v)).To(Equal([]string{"s-00", "s-02"}), "zone-1 is still evacuated")
	g.Expect(v.Peers).To(HaveLen(1))
	g.Expect(c.items(testStart)).To(ContainElement(evacuation))
	g.Expect(c.items(testStart)).NotTo(ContainElement(HaveField("Key", server(2).Key)), "other instances must not start with it")
	c.Step(testStart.Add(time.Second), Listed{Revision: eraOf(2, 21), Items: servers(1)})
	g.Expect(names(c.View())).To(HaveLen(2), "listing again does not withdraw it")
	c.Step(testStart.Add(time.Second), Changed{After: eraOf(2, 21), Revision: eraOf(2, 22), Items: []Item{server(2)}})
	due, ok := c.NextTick()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(testStart.Add(OutageGrace)))
	c.Tick(due)
	v = c.View()
	g.Expect(names(v)).To(Equal([]string{"s-00", "s-02"}))
	g.Expect(v.Evacuated).To(BeEmpty())
	g.Expect(v.Peers).To(BeEmpty())
}

// Guards against a server that has begun to drain while the store was away, and whose entry is ignored because its heartbeat is one
// that is known.
func TestDepartureWrittenAgainIsNotIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Revision: eraOf(1, 50), Items: addresses([]Item{beat(0, 7, 5), beat(1, 7, 5)})})
	leaving := beat(1, 7, 5)
	leaving.Fact.(*routing.Backend).Draining = true
	c.Step(testStart, Listed{Revision: eraOf(2, 20), Items: addresses([]Item{beat(0, 7, 5), leaving})})
	g.Expect(names(c.View())).To(Equal([]string{"s-00"}))
}

// Guards against a server that has left in the lost seconds and is used again, and against one that counts as ready although it is
// known to be draining, because the copy still has their earlier entries.
func TestOlderEntriesOfACopyAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	leaving := beat(2, 7, 5)
	leaving.Fact.(*routing.Backend).Draining = true
	restarted := beat(3, 9, 1)
	addresses([]Item{leaving, restarted})
	c.Step(testStart, Listed{Revision: eraOf(1, 50), Items: addresses([]Item{beat(0, 7, 5), beat(1, 7, 5), leaving, restarted})})
	c.Step(testStart, Changed{After: eraOf(1, 50), Revision: eraOf(1, 51), Items: []Item{{Key: server(1).Key}}})
	copied := addresses([]Item{beat(0, 7, 4), beat(1, 7, 5), beat(2, 7, 5), beat(3, 8, 99)})
	c.Step(testStart, Listed{Revision: eraOf(2, 20), Items: copied})
	g.Expect(names(c.View())).To(Equal([]string{"s-00", "s-03"}))
	g.Expect(find(t, viewOf(c), "s-03").Born).To(Equal(int64(9)))
	c.Step(testStart, Changed{After: eraOf(2, 20), Revision: eraOf(2, 21), Items: addresses([]Item{beat(1, 7, 6)})})
	g.Expect(names(c.View())).To(Equal([]string{"s-00", "s-01", "s-03"}), "its next heartbeat shows that it works")
}

// Guards against a server that is removed although a second copy has it, because the first one lacked it.
func TestServerOfALaterCopyIsNotRemoved(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	known := addresses([]Item{beat(0, 7, 5), beat(1, 7, 5)})
	c.Step(testStart, Listed{Revision: eraOf(1, 50), Items: known})
	c.Step(testStart, Listed{Revision: eraOf(2, 20), Items: known[:1]})
	c.Step(testStart, Listed{Revision: eraOf(3, 30), Items: addresses([]Item{beat(0, 7, 5), beat(1, 7, 4)})})
	c.Tick(testStart.Add(time.Minute))
	g.Expect(names(viewOf(c))).To(HaveLen(2))
}

// Guards against a control goroutine that spins while the store is unavailable, because what is due then is not done.
func TestNothingIsDueWhileTheStoreIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Listed{Revision: eraOf(1, 50), Items: servers(8)})
	c.Step(testStart, Changed{After: eraOf(1, 50), Revision: eraOf(1, 51), Items: []Item{{Key: server(0).Key}, {Key: server(1).Key}, {Key: server(2).Key}, {Key: server(3).Key}}})
	_, ok := c.NextTick()
	g.Expect(ok).To(BeTrue(), "four servers are missing")
	c.Step(testStart, StoreLost{})
	c.Tick(testStart.Add(time.Minute))
	_, ok = c.NextTick()
	g.Expect(ok).To(BeFalse())
	c.Step(testStart.Add(time.Minute), StoreRecovered{})
	g.Expect(names(c.View())).To(HaveLen(4))
}

// addresses gives each server an address of its own.
func addresses(items []Item) []Item {
	for _, it := range items {
		b := it.Fact.(*routing.Backend)
		b.Address = string(b.Name) + ":80"
	}
	return items
}

// viewOf returns the view also when nothing has changed.
func viewOf(c *Core) *View {
	c.dirty = true
	return c.View()
}
