package metastore

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
)

// patience is how long a test waits for something that happens within milliseconds.
const patience = 10 * time.Second

// fakeStore is a store whose watches can be deaf, and which can be away.
type fakeStore struct {
	mu        sync.Mutex
	revision  Revision
	away      bool
	watch     func(ctx context.Context, after Revision) ([]catalog.Item, Revision, error)
	lists     int
	entries   int
	lease     LeaseID
	leaseGone bool
}

func (s *fakeStore) List(context.Context) ([]catalog.Item, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errors.New("no answer")
	}
	s.lists++
	return nil, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, after Revision, _ time.Duration) ([]catalog.Item, Revision, error) {
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
func deaf(ctx context.Context, _ Revision) ([]catalog.Item, Revision, error) {
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

func startFollower(t *testing.T, s *fakeStore, to Teller) *Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(FollowerOptions{
		Store: s, To: to, Wait: func() time.Duration { return time.Hour }, Tell: func(uint64) {}, Log: hclog.NewNullLogger(),
		Ask: func(context.Context, Revision) ([]catalog.Item, Revision, bool) { return nil, 0, false },
	})
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
	s.watch = func(ctx context.Context, after Revision) ([]catalog.Item, Revision, error) {
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
	s.watch = func(ctx context.Context, after Revision) ([]catalog.Item, Revision, error) {
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
	r := NewRegistrar(s, events, f.Relist, hclog.NewNullLogger())
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
	r := NewRegistrar(s, discard{}, func() {}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	g.Eventually(func() int { _, n := s.counts(); return n }, patience).Should(Equal(1))
	s.set(func() { s.leaseGone = true })
	g.Eventually(func() int { _, n := s.counts(); return n }, patience).Should(Equal(2))
}
