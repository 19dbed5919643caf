package metastore

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/factwire"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// bigTable returns a routing table with n routes.
func bigTable(version routing.Version, n int) *routing.Table {
	t := &routing.Table{Version: version, Services: map[state.ServiceName]routing.Service{"svc": {}}}
	for i := range n {
		t.Routes = append(t.Routes, routing.Route{
			Name: fmt.Sprintf("r-%08x", i*2654435761), Host: fmt.Sprintf("host%d.example", i%7), Prefix: fmt.Sprintf("/p%08x/", i*40503),
			Timeout: time.Second, MaxAttempts: 2, Parts: []routing.Part{{Service: "svc", Weight: 1}},
		})
	}
	t.Index()
	return t
}

// Guards against departures that are delayed by a routing table on the link of a reader: a table of 1,400 routes that grew by
// one route was relayed whole to each instance of the group. With 48 instances on a link of 10 Mbit/s, sending one message to
// all of them may take up to 0.1 s.
func TestTableThatGrowsByOneRouteIsNotRelayedWhole(t *testing.T) {
	const bound = 10e6 / 8 / 48 / 10 // bytes
	g := NewWithT(t)
	s := &fakeStore{revision: at(7)}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after.Number > 8 {
			return blockedWatch(ctx, after)
		}
		return []catalog.Item{{Key: "table", Fact: bigTable(routing.Version(after.Number), 1400+int(after.Number))}}, at(after.Number + 1), nil
	}
	published := make(chan *factwire.Facts, 8)
	opts := newOptions(s, discardSink{}, newRelays(false))
	opts.Publish = func(f *factwire.Facts) { published <- f }
	runFollower(t, opts)
	g.Eventually(published, testTimeout).Should(Receive(HaveField("Revision", at(7))), "the listing")
	g.Eventually(published, testTimeout).Should(Receive(HaveField("Revision", at(8))), "the first table")
	var second *factwire.Facts
	g.Eventually(published, testTimeout).Should(Receive(&second))
	message, err := factwire.Encode([]byte("key"), second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(message)).To(BeNumerically("<", bound))
}

// Guards against an instance that serves by a wrong table when a relayed change starts from a table that it does not have: it
// must list the store.
func TestChangeOfAnUnknownTableLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	events, relays := &eventRecorder{}, newRelays(true)
	startFollowerWithRelays(t, s, events, relays)
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(8), Items: []catalog.Item{{Key: "table", Fact: bigTable(3, 2)}}}
	fits := routing.Diff(bigTable(3, 2), bigTable(4, 3))
	relays.deltas <- &factwire.Facts{After: at(8), Revision: at(9), Items: []catalog.Item{{Key: "table", Fact: fits}}}
	unknown := routing.Diff(bigTable(5, 4), bigTable(6, 5))
	relays.deltas <- &factwire.Facts{After: at(9), Revision: at(10), Items: []catalog.Item{{Key: "table", Fact: unknown}}}
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
	var versions []routing.Version
	for _, ev := range events.all() {
		if c, ok := ev.(catalog.Changed); ok {
			versions = append(versions, c.Items[0].Fact.(*routing.Table).Version)
		}
	}
	g.Expect(versions).To(Equal([]routing.Version{3, 4}))
}

// Guards against unnecessary listings of the store when two readers split the same changes of the table differently: the change
// that does not fit is skipped, and the other reader relays the rest.
func TestOverlappingChangesOfATableNeedNoListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	events, relays := &eventRecorder{}, newRelays(true)
	f := startFollowerWithRelays(t, s, events, relays)
	change := func(after, revision uint64, from, to int) *factwire.Facts {
		fact := routing.Diff(bigTable(routing.Version(from), from), bigTable(routing.Version(to), to))
		return &factwire.Facts{After: at(after), Revision: at(revision), Items: []catalog.Item{{Key: "table", Fact: fact}}}
	}
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(8), Items: []catalog.Item{{Key: "table", Fact: bigTable(1, 1)}}}
	relays.deltas <- change(8, 9, 1, 2)
	relays.deltas <- change(8, 10, 1, 3) // from the other reader
	relays.deltas <- change(9, 10, 2, 3)
	departure := catalog.Item{Key: "servers/a"}
	known := change(9, 11, 2, 3)
	known.Items = append(known.Items, departure)
	relays.deltas <- known // from the other reader
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(11)))
	g.Expect(events.all()).To(ContainElement(HaveField("Items", []catalog.Item{departure})), "the departure after a known table must be applied")
	g.Consistently(func() int { n, _ := s.counts(); return n }, 2*relistDelay).Should(Equal(1))

	relays.deltas <- change(11, 12, 3, 4)
	relays.deltas <- change(11, 13, 3, 5) // the rest never arrives
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
}
