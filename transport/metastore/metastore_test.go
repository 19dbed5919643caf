package metastore

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/factwire"
	"azurebridge/state"
)

// testTimeout is how long a test waits for something that happens within milliseconds.
const testTimeout = 10 * time.Second

// at returns a revision of a store without eras.
func at(number uint64) catalog.Revision { return catalog.Revision{Number: number} }

// fakeStore is a store whose watches a test sets, and which can be unavailable.
type fakeStore struct {
	mu            sync.Mutex
	revision      catalog.Revision
	unavailable   bool
	watch         func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error)
	lists         int
	registrations int
	lease         LeaseID
	leaseExpired  bool
}

func (s *fakeStore) List(context.Context) ([]catalog.Item, catalog.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, catalog.Revision{}, errors.New("no answer")
	}
	s.lists++
	return nil, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, after catalog.Revision, _ time.Duration) ([]catalog.Item, catalog.Revision, error) {
	return s.watch(ctx, after)
}

func (s *fakeStore) Grant(context.Context, time.Duration) (LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.Number++
	s.leaseExpired = false
	return s.lease, time.Second, nil
}

func (s *fakeStore) Renew(context.Context, LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return errors.New("no answer")
	case s.leaseExpired:
		return ErrNoLease
	}
	return nil
}

func (s *fakeStore) Revoke(context.Context, LeaseID) error { return nil }

func (s *fakeStore) Register(context.Context, LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrations++
	return nil
}

func (s *fakeStore) CreateFleetKey(context.Context, []byte) error { return nil }

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) counts() (lists, registrations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.registrations
}

// blockedWatch is a watch that receives no changes until ctx ends.
func blockedWatch(ctx context.Context, _ catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
	<-ctx.Done()
	return nil, catalog.Revision{}, ctx.Err()
}

type discardSink struct{}

func (discardSink) Send(context.Context, catalog.Event) {}

// eventRecorder records the events that it receives.
type eventRecorder struct {
	mu     sync.Mutex
	events []catalog.Event
}

func (r *eventRecorder) Send(_ context.Context, ev catalog.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, ev)
}

func (r *eventRecorder) all() []catalog.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]catalog.Event(nil), r.events...)
}

// fakeRelays is a RelaySource whose changes and coverage a test sets.
type fakeRelays struct {
	covered atomic.Bool
	changed chan struct{}
	deltas  chan *factwire.Facts
}

func newRelays(covered bool) *fakeRelays {
	r := &fakeRelays{changed: make(chan struct{}, 1), deltas: make(chan *factwire.Facts, 8)}
	r.covered.Store(covered)
	return r
}

func (r *fakeRelays) Covered() bool                    { return r.covered.Load() }
func (r *fakeRelays) CoverageChanged() <-chan struct{} { return r.changed }
func (r *fakeRelays) Deltas() <-chan *factwire.Facts   { return r.deltas }

func startFollower(t *testing.T, s *fakeStore, sink EventSink) *Follower {
	t.Helper()
	return startFollowerWithRelays(t, s, sink, newRelays(false))
}

func startFollowerWithRelays(t *testing.T, s *fakeStore, sink EventSink, relays *fakeRelays) *Follower {
	t.Helper()
	return runFollower(t, newOptions(s, sink, relays))
}

// startAsking starts a follower without readers that queries other instances with ask.
func startAsking(t *testing.T, s *fakeStore, ask func(context.Context, catalog.Revision) ([]catalog.Item, catalog.Revision, bool)) *Follower {
	t.Helper()
	opts := newOptions(s, discardSink{}, newRelays(false))
	opts.Ask = ask
	return runFollower(t, opts)
}

func newOptions(s *fakeStore, sink EventSink, relays *fakeRelays) FollowerOptions {
	return FollowerOptions{
		Store: s, Sink: sink, NextWait: func() time.Duration { return time.Hour }, Announce: func(catalog.Revision) {}, Log: hclog.NewNullLogger(),
		Ask: func(context.Context, catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
			return nil, catalog.Revision{}, false
		},
		Relays: relays, Publish: func(*factwire.Facts) {}, Contact: NewContact(state.MonotonicClock()),
	}
}

func runFollower(t *testing.T, opts FollowerOptions) *Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(opts)
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// Guards against an instance that serves by an old configuration because its watch receives no changes while the store
// compacts its history. A message from another instance that knows a newer revision must lead to exactly one new listing.
func TestUnresponsiveWatchIsReplacedWhenAnotherInstanceKnowsMore(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	f := startFollower(t, s, discardSink{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(1))
	s.set(func() { s.revision = at(9) })
	f.ReportRevision(at(9))
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
	f.ReportRevision(at(9))
	g.Consistently(func() int { n, _ := s.counts(); return n }, 3*relistDelay).Should(Equal(2))
}

// Guards against a watch that skips changes: a revision that grows without changes must lead to a new listing.
func TestIncreasedRevisionWithoutChangesLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7)}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after == at(7) {
			s.set(func() { s.revision = at(9) })
			return nil, at(9), nil
		}
		return blockedWatch(ctx, after)
	}
	startFollower(t, s, discardSink{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
}

// Guards against an instance that continues without a new listing after the store has compacted its history.
func TestCompactedHistoryLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7)}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after == at(7) {
			s.set(func() { s.revision = at(9) })
			return nil, catalog.Revision{}, errors.Wrap(ErrCompacted, "watch")
		}
		return blockedWatch(ctx, after)
	}
	startFollower(t, s, discardSink{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
}

// Guards against a watch that survives an outage of the store but receives no changes afterwards: the registrar detects the
// outage by its own calls and requests a listing.
func TestOutageSeenByTheRegistrarLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	events := &eventRecorder{}
	f := startFollower(t, s, events)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := NewRegistrar(s, events, NewContact(state.MonotonicClock()), f.Relist, hclog.NewNullLogger())
	go r.Run(ctx)
	g.Eventually(func() int { _, n := s.counts(); return n }, testTimeout).Should(Equal(1))
	lists, _ := s.counts()
	s.set(func() { s.unavailable = true })
	g.Eventually(events.all, testTimeout).Should(ContainElement(catalog.StoreLost{}))
	s.set(func() { s.unavailable = false })
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(lists + 1))
}

// Guards against an instance that callers no longer find because its lease expired while the store was unavailable.
func TestExpiredLeaseIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	r := NewRegistrar(s, discardSink{}, NewContact(state.MonotonicClock()), func() {}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	g.Eventually(func() int { _, n := s.counts(); return n }, testTimeout).Should(Equal(1))
	s.set(func() { s.leaseExpired = true })
	g.Eventually(func() int { _, n := s.counts(); return n }, testTimeout).Should(Equal(2))
}

// Guards against changes that are lost or applied twice when two readers relay the same ones, and against calls to the store
// while the relays are complete.
func TestRelayedChangesAreAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	events, relays := &eventRecorder{}, newRelays(true)
	f := startFollowerWithRelays(t, s, events, relays)
	first := []catalog.Item{{Key: "a", Fact: catalog.Evacuation{Domain: "north-a"}}}
	second := []catalog.Item{{Key: "a"}}
	relays.deltas <- &factwire.Facts{After: at(5), Revision: at(7)}
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(9), Items: first}
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(9), Items: first}
	relays.deltas <- &factwire.Facts{After: at(8), Revision: at(11), Items: second}
	relays.deltas <- &factwire.Facts{After: at(9), Revision: at(9)}
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(11)))
	g.Expect(events.all()).To(HaveExactElements(
		catalog.StoreRecovered{}, catalog.Listed{Revision: at(7)},
		catalog.StoreRecovered{}, catalog.Changed{Source: catalog.FromReader, After: at(7), Revision: at(9), Items: first},
		catalog.StoreRecovered{}, catalog.Changed{Source: catalog.FromReader, After: at(8), Revision: at(11), Items: second},
	))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
	g.Expect(f.Stats.Watches.Load()).To(BeZero())
}

// Guards against an instance that serves by an old configuration because a relayed change has not arrived.
func TestGapInTheRelayLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	relays := newRelays(true)
	startFollowerWithRelays(t, s, discardSink{}, relays)
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(1))
	s.set(func() { s.revision = at(9) })
	relays.deltas <- &factwire.Facts{After: at(9), Revision: at(9)}
	g.Eventually(func() int { n, _ := s.counts(); return n }, testTimeout).Should(Equal(2))
}

// Guards against an instance that receives no changes because its readers have left: it must watch the store from the revision
// at which the relay ended.
func TestInstanceWithoutReadersWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	watched := make(chan catalog.Revision, 1)
	s := &fakeStore{revision: at(7)}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		watched <- after
		return blockedWatch(ctx, after)
	}
	relays := newRelays(true)
	f := startFollowerWithRelays(t, s, discardSink{}, relays)
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(9)}
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
	relays.changed <- struct{}{}
	g.Consistently(watched, 3*relistDelay).ShouldNot(Receive())
	relays.covered.Store(false)
	relays.changed <- struct{}{}
	g.Eventually(watched, testTimeout).Should(Receive(Equal(at(9))))
}

// Guards against an instance that resets its revision when a listing fails: it would accept older state from another instance
// and send requests to servers that have left.
func TestFailedListingKeepsTheRevision(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	asked := make(chan catalog.Revision, 8)
	f := startAsking(t, s, func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		asked <- after
		return nil, catalog.Revision{}, false
	})
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(7)))
	s.set(func() { s.unavailable = true })
	f.Relist()
	g.Eventually(asked, testTimeout).Should(Receive(Equal(at(7))))
}

// Guards against an instance whose own watch receives no changes, and that uses its readers again only when the watch ends.
func TestOwnWatchEndsWhenReadersRelayAgain(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	relays := newRelays(false)
	f := startFollowerWithRelays(t, s, discardSink{}, relays)
	g.Eventually(f.Stats.Watches.Load, testTimeout).Should(Equal(uint64(1)))
	relays.covered.Store(true)
	relays.changed <- struct{}{}
	relays.deltas <- &factwire.Facts{After: at(7), Revision: at(9)}
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
}

// Guards against an instance that the store stops answering, and that learns of a departure only when its watch times out:
// some, but not all, of the other instances know of it earlier.
func TestUnresponsiveStoreLeadsToQueriesDuringTheWatch(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	events := &eventRecorder{}
	opts := newOptions(s, events, newRelays(false))
	var asked atomic.Int32
	opts.Ask = func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		if !after.Before(at(9)) || asked.Add(1) < askTries {
			return nil, catalog.Revision{}, false
		}
		return []catalog.Item{{Key: "a", Fact: catalog.Evacuation{Domain: "north-a"}}}, at(9), true
	}
	f := runFollower(t, opts) // its watch waits for an hour
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
	g.Expect(f.Stats.Watches.Load()).To(Equal(uint64(1)), "the watch call must continue")
	g.Expect(events.all()).To(ContainElement(HaveField("Source", catalog.FromInstance)))
}

// Guards against an instance that waits for a listing of an unresponsive store while other instances know the changes.
func TestOthersAreAskedBeforeAnUnresponsiveStoreIsListed(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7), watch: blockedWatch}
	opts := newOptions(s, discardSink{}, newRelays(true))
	opts.Ask = func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		return nil, at(9), after.Before(at(9))
	}
	f := runFollower(t, opts)
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(7)))
	g.Eventually(f.stale, testTimeout).Should(BeTrue())
	f.Relist()
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
}

// Guards against an instance that has just started, is rejected by the store, and uses servers that have left: the first
// instance that it asks may be cut off and hold an old state.
func TestStartingInstanceTakesTheNewestStateOfOthers(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{unavailable: true, watch: blockedWatch}
	events := &eventRecorder{}
	opts := newOptions(s, events, newRelays(false))
	answers := []catalog.Revision{at(7), at(9), at(8)}
	var asked atomic.Int32
	opts.Ask = func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		revision := answers[int(asked.Add(1)-1)%len(answers)]
		return nil, revision, after.Before(revision)
	}
	f := runFollower(t, opts)
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
	for _, ev := range events.all() {
		if listed, ok := ev.(catalog.Listed); ok {
			g.Expect(listed.Revision).To(Equal(at(9)), "the older states are not applied")
		}
	}
}
