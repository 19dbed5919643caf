package metastore

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/state"
)

// lateStore is a store that carries out the first write of an entry late, without a reply, and the others at once. An entry is removed
// when its lease is not renewed.
type lateStore struct {
	*fakeStore
	mu      sync.Mutex
	grants  uint64
	writes  int
	late    LeaseID // of the first write
	entry   LeaseID // that the entry is bound to; number 0 without an entry
	renewed map[LeaseID]int
}

func (s *lateStore) Grant(context.Context, time.Duration) (LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	return LeaseID{Number: s.grants}, EntryTTL, nil
}

func (s *lateStore) Renew(_ context.Context, id LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed[id]++
	return nil
}

func (s *lateStore) Register(_ context.Context, id LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.writes == 1 {
		s.late = id
		return errors.New("no answer")
	}
	s.entry = id
	return nil
}

// carryOutLate carries out the first write.
func (s *lateStore) carryOutLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = s.late
}

// renewals returns how often the lease was renewed that the entry is bound to.
func (s *lateStore) renewals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed[s.entry]
}

func (s *lateStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// expire removes the entry, as the store does when the lease that it is bound to has expired.
func (s *lateStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = LeaseID{}
}

func (s *lateStore) hasEntry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.Number != 0
}

func startRegistrar(t *testing.T, s Store, listed func() bool) {
	t.Helper()
	r := NewRegistrar(s, discardSink{}, NewContact(state.MonotonicClock()), func() {}, hclog.NewNullLogger())
	if c, ok := any(r).(interface{ CheckListed(listed func() bool) }); ok {
		c.CheckListed(listed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against an entry that disappears for good, because a write that was carried out late binds it to a lease that is no longer
// renewed.
func TestLateWriteBindsTheEntryToTheLeaseInUse(t *testing.T) {
	g := NewWithT(t)
	s := &lateStore{fakeStore: &fakeStore{}, renewed: make(map[LeaseID]int)}
	startRegistrar(t, s, func() bool { return true })
	g.Eventually(s.writeCount, testTimeout).Should(Equal(2))
	s.carryOutLate()
	before := s.renewals()
	g.Eventually(s.renewals, testTimeout).Should(BeNumerically(">", before+1))
}

// Guards against an instance that no caller finds although it renews its lease: a late write of an earlier process of the same name
// has bound the entry to a lease that has expired since.
func TestMissingEntryIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	s := &lateStore{fakeStore: &fakeStore{}, renewed: make(map[LeaseID]int)}
	startRegistrar(t, s, s.hasEntry)
	g.Eventually(s.hasEntry, testTimeout).Should(BeTrue())
	s.expire()
	g.Eventually(s.hasEntry, testTimeout).Should(BeTrue())
	writes := s.writeCount()
	g.Consistently(s.writeCount, 2*renewInterval).Should(Equal(writes), "the entry is listed")
}
