package metastore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// coreSink applies events to a core, as the control goroutine does.
type coreSink struct {
	clock func() state.Instant
	mu    sync.Mutex
	core  *catalog.Core
	view  *catalog.View
}

func (s *coreSink) Send(_ context.Context, ev catalog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Step(s.clock(), ev)
}

// servers returns the number of servers in use.
func (s *coreSink) servers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Tick(s.clock())
	if v := s.core.View(); v != nil {
		s.view = v
	}
	if service := s.view.Services["search"]; service != nil {
		return len(service.Servers)
	}
	return 0
}

// listingStore is a fakeStore with items.
type listingStore struct {
	*fakeStore
	items []catalog.Item
}

func (s *listingStore) List(ctx context.Context) ([]catalog.Item, catalog.Revision, error) {
	_, revision, err := s.fakeStore.List(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items, revision, err
}

func searchServers(n int) []catalog.Item {
	var out []catalog.Item
	for i := range n {
		name := fmt.Sprintf("s-%02d", i)
		out = append(out, catalog.Item{Key: "servers/" + name, Fact: &routing.Backend{
			Name: state.BackendName(name), Service: "search", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "north-a", Region: "north", Slots: 4,
		}})
	}
	return out
}

// Guards against servers that have left and stay in use as long as the store interrupts every watch, although it answers the
// renewals of the lease all the while.
func TestServersThatLeftAreRemovedWhileWatchesAreInterrupted(t *testing.T) {
	g := NewWithT(t)
	all := searchServers(16)
	s := &listingStore{&fakeStore{revision: at(7)}, all}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after == at(7) {
			s.set(func() { s.revision, s.items = at(8), all[4:] })
			var left []catalog.Item
			for _, it := range all[:4] {
				left = append(left, catalog.Item{Key: it.Key})
			}
			return left, at(8), nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
		return nil, catalog.Revision{}, errors.New("connection reset")
	}
	clock := state.MonotonicClock()
	sink := &coreSink{clock: clock, core: catalog.NewCore(catalog.Options{Self: "front-1"}), view: &catalog.View{}}
	opts := newOptions(nil, sink, newRelays(false))
	opts.Store = s
	runFollower(t, opts)
	r := NewRegistrar(s, sink, opts.Contact, func() {}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	g.Eventually(sink.servers, testTimeout).Should(Equal(16))
	g.Eventually(sink.servers, testTimeout).Should(Equal(12))
}

// Guards against an instance that repeats watches which are never answered, and so learns of no change although the store
// answers listings.
func TestUnansweredWatchesLeadToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: at(7)}
	s.watch = func(context.Context, catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		return nil, catalog.Revision{}, context.DeadlineExceeded
	}
	f := startFollower(t, s, discardSink{})
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(7)))
	s.set(func() { s.revision = at(9) })
	g.Eventually(f.Revision, testTimeout).Should(Equal(at(9)))
}
