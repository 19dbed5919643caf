package membudget

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// testBudget is the size of the budget of most tests, in bytes.
const testBudget = 3 << 20

// owner is an owner whose account is freed when it is evicted.
type owner struct {
	mu      sync.Mutex
	stall   Stall
	evicted bool
	free    func()
}

func (o *owner) Stalled() Stall {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stall
}

func (o *owner) Evict() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evicted = true
	if o.free != nil {
		go o.free()
	}
	return true
}

func fixedClock(now time.Duration) func() state.Instant {
	return func() state.Instant { return state.Instant(now) }
}

func at(d time.Duration) state.Instant { return state.Instant(d) }

// Guards against large bodies that use up the memory that ordinary requests need, and against a bound that is exceeded.
func TestLargeHoldsLeaveTheReserve(t *testing.T) {
	g := NewWithT(t)
	b := New(testBudget, fixedClock(time.Hour))
	a := b.Open(&owner{})
	large, small := a.Hold(Large), a.Hold(Small)
	reserve := int64(testBudget) / 3
	g.Expect(large.Reserve(testBudget - reserve)).To(BeTrue())
	g.Expect(large.Reserve(2)).To(BeFalse())
	g.Expect(small.Reserve(SmallBytes)).To(BeTrue())
	g.Expect(small.Reserve(1)).To(BeFalse(), "a hold that has grown is not small any more")
	for range 4 {
		g.Expect(a.Hold(Small).Reserve(SmallBytes)).To(BeTrue())
	}
	g.Expect(b.Stats.Refused.Load()).To(BeEquivalentTo(2))
	large.Free()
	g.Expect(small.Reserve(1)).To(BeTrue())
}

// Guards against bodies that are sent slowly, and connections that send nothing, which use up what requests need that have arrived.
func TestUsesLeavePartsToOthers(t *testing.T) {
	g := NewWithT(t)
	b := New(testBudget, fixedClock(time.Hour))
	a := b.Open(&owner{})
	fill := func(use Use) (n int) {
		for a.Hold(use).Reserve(SmallBytes / 2) {
			n++
		}
		return n
	}
	g.Expect(fill(Arriving)).To(BeNumerically(">", 0))
	g.Expect(fill(Large)).To(BeZero())
	g.Expect(fill(Connection)).To(BeNumerically(">", 0))
	arrived := a.Hold(Arriving)
	g.Expect(arrived.Reserve(SmallBytes / 2)).To(BeFalse())
	arrived.Arrived()
	g.Expect(arrived.Reserve(SmallBytes / 2)).To(BeTrue())
	g.Expect(fill(Small)).To(BeNumerically(">", 0))
	g.Expect(b.Stats.Used.Load()).To(BeNumerically("<=", testBudget))
}

// Guards against a small reservation that is refused although closing an idle owner is enough for it, because a larger one has just
// found too little to close.
func TestFruitlessSearchForALargeHoldLeavesSmallOnesTheirs(t *testing.T) {
	g := NewWithT(t)
	b := New(testBudget, fixedClock(time.Hour))
	idle := &owner{stall: Stall{ForRequest, at(time.Minute)}}
	h := b.Open(idle).Hold(Connection)
	idle.free = h.Free
	g.Expect(h.Reserve(SmallBytes)).To(BeTrue())
	busy := b.Open(&owner{}).Hold(Small)
	busy.Add(testBudget - SmallBytes)
	g.Expect(b.Open(&owner{}).Hold(Large).Reserve(1 << 20)).To(BeFalse())
	g.Expect(b.Open(&owner{}).Hold(Small).Reserve(SmallBytes)).To(BeTrue())
	g.Expect(idle.evicted).To(BeTrue())
}

// Guards against a nil account or a budget of 0 that bounds anything.
func TestNoBudgetSetsNoBound(t *testing.T) {
	g := NewWithT(t)
	var none *Budget
	a := none.Open(nil)
	h := a.Hold(Small)
	g.Expect(h.Reserve(1 << 40)).To(BeTrue())
	h.Add(1)
	h.Release(1)
	h.Free()
	a.Close()
	g.Expect(New(0, fixedClock(0)).Open(&owner{}).Hold(Large).Reserve(1 << 40)).To(BeTrue())
}

// Guards against closing a connection that makes progress, or whose request runs at a server, and against an order other than the
// longest without progress first.
func TestWhoIsClosed(t *testing.T) {
	g := NewWithT(t)
	now := at(time.Hour)
	stall := func(w Waiting, age time.Duration) Holding { return Holding{Stall{w, now - at(age)}, 100} }
	holdings := []Holding{
		stall(ForCaller, time.Second), // makes progress
		stall(ForCaller, 3*time.Second),
		stall(ForNothing, time.Minute), // its request runs at a server
		stall(ForRequest, time.Minute),
		stall(ForCaller, 5*time.Second),
		stall(ForRequest, 0),
		{Stall{ForCaller, 0}, 0}, // would release nothing
		stall(ForClose, 0),
	}
	toClose := func(missing int64) []int {
		chosen, releasable := ToClose(holdings, missing, now)
		g.Expect(releasable).To(BeEquivalentTo(500))
		return chosen
	}
	g.Expect(toClose(1)).To(Equal([]int{4}))
	g.Expect(toClose(101)).To(Equal([]int{4, 1}))
	g.Expect(toClose(201)).To(Equal([]int{4, 1, 7}))
	g.Expect(toClose(401)).To(Equal([]int{4, 1, 7, 3, 5}))
	g.Expect(toClose(501)).To(BeNil(), "closing all of them would not be enough, so that none is closed")
	var stalls []Stall
	for _, h := range holdings[:6] {
		stalls = append(stalls, h.Stall)
	}
	g.Expect(LongestIdle(append(stalls, holdings[7].Stall), now)).To(Equal(6))
	g.Expect(LongestIdle(stalls, now)).To(Equal(3))
	g.Expect(LongestIdle(stalls[:3], now)).To(Equal(1))
	g.Expect(LongestIdle(stalls[:1], now)).To(Equal(-1))
}

// Guards against many bodies that stop just short of their end and keep all memory: they are closed for others once they have
// stalled, not before.
func TestStalledOwnersMakeRoom(t *testing.T) {
	g := NewWithT(t)
	b := New(testBudget, fixedClock(time.Hour))
	var owners []*owner
	for i := range 2 {
		o := &owner{stall: Stall{ForCaller, at(time.Hour - MinStall*time.Duration(i))}}
		h := b.Open(o).Hold(Large)
		g.Expect(h.Reserve(1 << 20)).To(BeTrue())
		o.free = h.Free
		owners = append(owners, o)
	}
	asking := b.Open(&owner{})
	g.Expect(asking.Hold(Large).Reserve(1 << 20)).To(BeTrue())
	g.Expect(owners[0].evicted).To(BeFalse())
	g.Expect(owners[1].evicted).To(BeTrue())
	g.Expect(b.Stats.Evicted.Load()).To(BeEquivalentTo(1))
	g.Expect(asking.Hold(Large).Reserve(1<<20)).To(BeFalse(), "the others make progress")
	g.Expect(b.Stats.Used.Load()).To(BeEquivalentTo(2 << 20))
}

// Guards against a buffer that loses or invents bytes, reserves more than its capacity, or reserves for bytes that have not come.
func TestBufferReadsEverySize(t *testing.T) {
	const bound = 64 << 10
	for _, size := range []int{0, 1, minCapacity - 1, minCapacity, minCapacity + 1, 3 * minCapacity, bound - 1, bound, bound + 1, 2 * bound} {
		for _, announced := range []int64{-1, int64(size)} {
			g := NewWithT(t)
			budget := New(testBudget, fixedClock(0))
			h := budget.Open(&owner{}).Hold(Small)
			content := make([]byte, size)
			for i := range content {
				content[i] = byte(rand.Uint32())
			}
			source := iotest.HalfReader(bytes.NewReader(content))
			b := NewBuffer(h, announced, bound)
			err := b.Fill(source)
			if size > bound {
				g.Expect(err).To(Equal(ErrFull))
			} else {
				g.Expect(err).NotTo(HaveOccurred())
			}
			rest, err := io.ReadAll(b.Rest(source))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(append(bytes.Clone(b.Bytes()), rest...), content)).To(BeTrue(), "%d bytes", size)
			g.Expect(budget.Stats.Used.Load()).To(BeEquivalentTo(cap(b.Bytes())))
			g.Expect(cap(b.Bytes())).To(BeNumerically("<=", max(minCapacity, 2*size)))
			b.Free()
			g.Expect(budget.Stats.Used.Load()).To(BeZero())
		}
	}
}

// Guards against a body that is taken for complete although the memory was used up or the source failed, and against bytes that
// are lost then.
func TestBufferWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	h := New(testBudget, fixedClock(time.Hour)).Open(&owner{}).Hold(Large)
	g.Expect(h.Reserve(2<<20 - 3*minCapacity)).To(BeTrue())
	source := strings.NewReader(strings.Repeat("x", 3*minCapacity))
	b := NewBuffer(h, -1, 1<<20)
	g.Expect(b.Fill(source)).To(Equal(ErrExhausted))
	rest, err := io.ReadAll(b.Rest(source))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b.Bytes()) + len(rest)).To(Equal(3 * minCapacity))
	broken := errors.New("broken")
	failing := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken))
	g.Expect(NewBuffer(nil, 10, 1<<20).Fill(failing)).To(Equal(broken))
}

// Guards against bytes that stay reserved, or a bound that is exceeded, when many goroutines reserve and release at the same time.
func TestBudgetUnderConcurrency(t *testing.T) {
	g := NewWithT(t)
	b := New(testBudget, state.MonotonicClock())
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			o := &owner{stall: Stall{Waiting: ForNothing}}
			a := b.Open(o)
			defer a.Close()
			for range 200 {
				h := a.Hold(Use(i % len(fractions)))
				for range 4 {
					h.Reserve(rand.Int64N(1 << 20))
				}
				if used := b.Stats.Used.Load(); used > testBudget {
					t.Errorf("%d bytes are reserved", used)
				}
				h.Free()
			}
		})
	}
	all.Wait()
	g.Expect(b.Stats.Used.Load()).To(BeZero())
	g.Expect(b.accounts).To(BeEmpty())
}
