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

// patience is how long a test waits for something that happens within milliseconds.
const patience = 10 * time.Second

// fakeStore is a store whose watches can be deaf, and which can be away.
type fakeStore struct {
	mu        sync.Mutex
	revision  catalog.Revision
	away      bool
	watch     func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error)
	lists     int
	entries   int
	lease     LeaseID
	leaseGone bool
}

func (s *fakeStore) List(context.Context) ([]catalog.Item, catalog.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errors.New("no answer")
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
	s.lease, s.leaseGone = s.lease+1, false
	return s.lease, time.Second, nil
}

func (s *fakeStore) Renew(context.Context, LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return errors.New("no answer")
	case s.leaseGone:
		return ErrNoLease
	}
	return nil
}

func (s *fakeStore) Revoke(context.Context, LeaseID) error { return nil }

func (s *fakeStore) Register(context.Context, LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries++
	return nil
}

func (s *fakeStore) CreateFleetKey(context.Context, []byte) error { return nil }

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) counts() (lists, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.entries
}

// deaf is a watch that hears of nothing until its call is given up.
func deaf(ctx context.Context, _ catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

type discard struct{}

func (discard) Tell(context.Context, catalog.Event) {}

// recorded keeps the events that it is told.
type recorded struct {
	mu     sync.Mutex
	events []catalog.Event
}

func (r *recorded) Tell(_ context.Context, ev catalog.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, ev)
}

func (r *recorded) all() []catalog.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]catalog.Event(nil), r.events...)
}

// fakeRelays are readers that a test speaks for.
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

func (r *fakeRelays) Covered() bool                  { return r.covered.Load() }
func (r *fakeRelays) CoverChanged() <-chan struct{}  { return r.changed }
func (r *fakeRelays) Deltas() <-chan *factwire.Facts { return r.deltas }

func startFollower(t *testing.T, s *fakeStore, to Teller) *Follower {
	t.Helper()
	return startRelayed(t, s, to, newRelays(false))
}

func startRelayed(t *testing.T, s *fakeStore, to Teller, relays *fakeRelays) *Follower {
	t.Helper()
	return run(t, options(s, to, relays))
}

// startAsking starts a follower without readers that asks other instances by ask.
func startAsking(t *testing.T, s *fakeStore, ask func(context.Context, catalog.Revision) ([]catalog.Item, catalog.Revision, bool)) *Follower {
	t.Helper()
	opts := options(s, discard{}, newRelays(false))
	opts.Ask = ask
	return run(t, opts)
}

func options(s *fakeStore, to Teller, relays *fakeRelays) FollowerOptions {
	return FollowerOptions{
		Store: s, To: to, Wait: func() time.Duration { return time.Hour }, Tell: func(catalog.Revision) {}, Log: hclog.NewNullLogger(),
		Ask:    func(context.Context, catalog.Revision) ([]catalog.Item, catalog.Revision, bool) { return nil, 0, false },
		Relays: relays, Publish: func(*factwire.Facts) {}, Contact: NewContact(state.MonotonicClock()),
	}
}

func run(t *testing.T, opts FollowerOptions) *Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(opts)
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// Guards against an instance that serves by an old configuration because its watch hears of nothing while the store drops
// its history: another instance's message must lead to a new listing.
func TestDeafWatchIsReplacedWhenAnotherInstanceKnowsMore(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	f := startFollower(t, s, discard{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(1))
	s.set(func() { s.revision = 9 })
	f.Newer(9)
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(2))
	f.Newer(9)
	g.Consistently(func() int { n, _ := s.counts(); return n }, 3*behindTime).Should(Equal(2))
}

// Guards against a watch that passes over changes: a revision that grows without changes must lead to a new listing.
func TestGrownRevisionWithoutChangesLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after == 7 {
			s.set(func() { s.revision = 9 })
			return nil, 9, nil
		}
		return deaf(ctx, after)
	}
	startFollower(t, s, discard{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(2))
}

// Guards against an instance that goes on without a listing after the store has dropped its history.
func TestCompactedHistoryLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after == 7 {
			s.set(func() { s.revision = 9 })
			return nil, 0, errors.Wrap(ErrCompacted, "watch")
		}
		return deaf(ctx, after)
	}
	startFollower(t, s, discard{})
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(2))
}

// Guards against a watch that survives an outage of the store but hears of nothing afterwards: the registrar notices the
// outage by its own calls and asks for a listing.
func TestOutageSeenByTheRegistrarLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	events := &recorded{}
	f := startFollower(t, s, events)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := NewRegistrar(s, events, NewContact(state.MonotonicClock()), f.Relist, hclog.NewNullLogger())
	go r.Run(ctx)
	g.Eventually(func() int { _, n := s.counts(); return n }, patience).Should(Equal(1))
	lists, _ := s.counts()
	s.set(func() { s.away = true })
	g.Eventually(events.all, patience).Should(ContainElement(catalog.StoreLost{}))
	s.set(func() { s.away = false })
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(lists + 1))
}

// Guards against an instance that callers no longer find because its lease lapsed while the store was away.
func TestLapsedLeaseIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	r := NewRegistrar(s, discard{}, NewContact(state.MonotonicClock()), func() {}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	g.Eventually(func() int { _, n := s.counts(); return n }, patience).Should(Equal(1))
	s.set(func() { s.leaseGone = true })
	g.Eventually(func() int { _, n := s.counts(); return n }, patience).Should(Equal(2))
}

// Guards against changes that are lost or applied twice when two readers relay the same ones, and against calls to the store
// while the relays are complete.
func TestRelayedChangesAreAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	events, relays := &recorded{}, newRelays(true)
	f := startRelayed(t, s, events, relays)
	first := []catalog.Item{{Key: "a", Fact: catalog.Evacuation{Domain: "north-a"}}}
	second := []catalog.Item{{Key: "a"}}
	relays.deltas <- &factwire.Facts{After: 5, Revision: 7}
	relays.deltas <- &factwire.Facts{After: 7, Revision: 9, Items: first}
	relays.deltas <- &factwire.Facts{After: 7, Revision: 9, Items: first}
	relays.deltas <- &factwire.Facts{After: 8, Revision: 11, Items: second}
	relays.deltas <- &factwire.Facts{After: 9, Revision: 9}
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(11)))
	g.Expect(events.all()).To(HaveExactElements(
		catalog.StoreRegained{}, catalog.Listed{Revision: 7},
		catalog.StoreRegained{}, catalog.Changed{Source: catalog.FromReader, After: 7, Revision: 9, Items: first},
		catalog.StoreRegained{}, catalog.Changed{Source: catalog.FromReader, After: 8, Revision: 11, Items: second},
	))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
	g.Expect(f.Stats.Watches.Load()).To(BeZero())
}

// Guards against an instance that serves by an old configuration because a relayed change has not reached it.
func TestGapInTheRelayLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	relays := newRelays(true)
	startRelayed(t, s, discard{}, relays)
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(1))
	s.set(func() { s.revision = 9 })
	relays.deltas <- &factwire.Facts{After: 9, Revision: 9}
	g.Eventually(func() int { n, _ := s.counts(); return n }, patience).Should(Equal(2))
}

// Guards against an instance that hears of no changes because its readers have gone: it watches the store from where the
// relay ended.
func TestInstanceWithoutReadersWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	watched := make(chan catalog.Revision, 1)
	s := &fakeStore{revision: 7}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		watched <- after
		return deaf(ctx, after)
	}
	relays := newRelays(true)
	f := startRelayed(t, s, discard{}, relays)
	relays.deltas <- &factwire.Facts{After: 7, Revision: 9}
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(9)))
	relays.changed <- struct{}{}
	g.Consistently(watched, 3*behindTime).ShouldNot(Receive())
	relays.covered.Store(false)
	relays.changed <- struct{}{}
	g.Eventually(watched, patience).Should(Receive(Equal(catalog.Revision(9))))
}

// Guards against an instance that forgets what it knows when a listing fails: it would take any older state from another
// instance and send requests to servers that have left.
func TestFailedListingKeepsTheRevision(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	asked := make(chan catalog.Revision, 8)
	f := startAsking(t, s, func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		asked <- after
		return nil, 0, false
	})
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(7)))
	s.set(func() { s.away = true })
	f.Relist()
	g.Eventually(asked, patience).Should(Receive(Equal(catalog.Revision(7))))
}

// Guards against an instance whose own watch hears of nothing, and that looks at its readers only when the watch ends.
func TestOwnWatchEndsWhenReadersRelayAgain(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	relays := newRelays(false)
	f := startRelayed(t, s, discard{}, relays)
	g.Eventually(f.Stats.Watches.Load, patience).Should(Equal(uint64(1)))
	relays.covered.Store(true)
	relays.changed <- struct{}{}
	relays.deltas <- &factwire.Facts{After: 7, Revision: 9}
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(9)))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
}

// Guards against an instance that the store turns away silently, and that learns of a departure only when its watch is given
// up: others know of it meanwhile, but not all of them.
func TestSilentStoreLeadsToQuestionsDuringTheWatch(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	events := &recorded{}
	opts := options(s, events, newRelays(false))
	var asked atomic.Int32
	opts.Ask = func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		if after >= 9 || asked.Add(1) < askTries {
			return nil, 0, false
		}
		return []catalog.Item{{Key: "a", Fact: catalog.Evacuation{Domain: "north-a"}}}, 9, true
	}
	f := run(t, opts) // its watch waits for an hour
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(9)))
	g.Expect(f.Stats.Watches.Load()).To(Equal(uint64(1)), "the call to the store goes on")
	g.Expect(events.all()).To(ContainElement(HaveField("Source", catalog.FromInstance)))
}

// Guards against an instance that waits for a listing of a store which has gone silent, while others know what has changed.
func TestOthersAreAskedBeforeASilentStoreIsListed(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 7, watch: deaf}
	opts := options(s, discard{}, newRelays(true))
	opts.Ask = func(_ context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool) {
		return nil, 9, after < 9
	}
	f := run(t, opts)
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(7)))
	g.Eventually(f.doubtful, patience).Should(BeTrue())
	f.Relist()
	g.Eventually(f.Revision, patience).Should(Equal(catalog.Revision(9)))
	lists, _ := s.counts()
	g.Expect(lists).To(Equal(1))
}
