package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Guards against buckets that do not follow the routing table, the list of instances and the settings, and against a new view for
// each request for permits.
func TestBucketsFollowTheControlState(t *testing.T) {
	g := NewWithT(t)
	now := state.Instant(time.Hour)
	bound := quota.CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}
	c := NewCore(Options{Self: "front-1", Customers: bound})
	table := func(version routing.Version, rate float64) Item {
		return Item{Key: "table", Fact: &routing.Table{Version: version, Customers: []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: rate}}}}}
	}
	self := Item{Key: "front-1", Fact: &routing.Peer{Name: "front-1", PeerAddress: "a"}}
	c.Step(now, Listed{Revision: Revision{Number: 1}, Items: []Item{table(1, 50)}})
	c.Step(now, Listed{Revision: Revision{Number: 1}, Items: []Item{table(1, 50), self}})
	g.Expect(c.View().Owners).To(HaveLen(1))
	ask := func() quota.Granted {
		var out quota.Granted
		c.Step(now, AskPermits{Ask: quota.Ask{ID: 7, Customer: "large", Count: 3}, Answer: func(answer quota.Granted) { out = answer }})
		return out
	}
	g.Expect(ask().Count).To(BeZero(), "a new owner has no permits")
	g.Expect(ask().NotOwner).To(BeTrue(), "the next owner is asked without a back-off")
	now = now.Add(5 * time.Second)
	g.Expect(ask()).To(Equal(quota.Granted{ID: 7, Count: 3}))
	g.Expect(c.View()).To(BeNil(), "nothing has changed that traffic goroutines read")
	c.Step(now, Limits{})
	g.Expect(ask().NotOwner).To(BeTrue(), "without a window nothing is limited")
	c.Step(now, Limits{Customers: bound})
	g.Expect(ask().Count).To(BeZero(), "the bucket is new")
	now = now.Add(5 * time.Second)
	g.Expect(ask().Count).To(Equal(3))
	c.Step(now, Changed{After: Revision{Number: 1}, Revision: Revision{Number: 2}, Items: []Item{table(2, 0)}})
	g.Expect(ask().NotOwner).To(BeTrue(), "the customer has no quota any more")
	c.Step(now, Changed{After: Revision{Number: 2}, Revision: Revision{Number: 3}, Items: []Item{table(3, 50), {Key: "front-1"}}})
	g.Expect(ask().NotOwner).To(BeTrue(), "the instance is not listed any more")
}

// Guards against seconds without permits after a process has restarted while its instance was listed, and against permits of a
// process that was not listed: another instance may still issue them.
func TestARestartedOwnerDoesNotWait(t *testing.T) {
	bound := quota.CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}
	table := Item{Key: "table", Fact: &routing.Table{Version: 1, Customers: []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: 50}}}}}
	const started = 1_700_000_000_000
	entry := func(joined int64) Item {
		return Item{Key: "front-1", Fact: &routing.Peer{Name: "front-1", PeerAddress: "a", JoinedMS: joined}}
	}
	self := entry(started - 60_000)
	other := Item{Key: "front-2", Fact: &routing.Peer{Name: "front-2", PeerAddress: "b"}}
	for _, c := range []struct {
		name   string
		source Source
		first  []Item
		issues bool // within the first second
	}{
		{"listed by the store", FromListing, []Item{table, self, other}, true},
		{"not listed", FromListing, []Item{table, other}, false},
		{"listed for a moment", FromListing, []Item{table, entry(started - 1000), other}, false},
		{"listed since an unknown time", FromListing, []Item{table, entry(0), other}, false},
		{"listed in the future", FromListing, []Item{table, entry(started + 60_000), other}, false},
		{"listed by another instance", FromInstance, []Item{table, self, other}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := state.Instant(time.Hour)
			core := NewCore(Options{Self: "front-1", StartedMS: started, Customers: bound})
			ask := func(count int) (out quota.Granted) {
				core.Step(now, AskPermits{Ask: quota.Ask{Customer: "large", Count: count}, Answer: func(answer quota.Granted) { out = answer }})
				return out
			}
			ask(1) // before the first listing
			core.Step(now, Listed{Source: c.source, Revision: Revision{Number: 1}, Items: c.first})
			core.Step(now, Listed{Source: FromListing, Revision: Revision{Number: 2}, Items: []Item{table, self, other}})
			g.Expect(ask(1).Count).To(BeZero(), "the bucket is empty")
			now = now.Add(time.Second)
			g.Expect(ask(1).Count == 1).To(Equal(c.issues))
			for range 10 {
				now = now.Add(500 * time.Millisecond)
				core.Step(now, ContactChecked{})
			}
			g.Expect(ask(1).Count).To(Equal(1))
		})
	}
}
