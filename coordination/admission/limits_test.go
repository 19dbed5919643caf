package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Guards against a limit that is not checked at grant time, that refuses with the wrong reason, or that stays exhausted
// after a grant has ended.
func TestEachLimit(t *testing.T) {
	west := message.GrantRequest{EntryRegion: "west", Rate: 100}
	for _, c := range []struct {
		name    string
		change  func(*state.Config)
		request message.GrantRequest
		granted int
		refusal message.Refusal
	}{
		{"slots", nil, message.GrantRequest{}, 4, message.RefusedTimeout},
		{"region", func(c *state.Config) { c.Regions[0].MaxRunning = 3 }, message.GrantRequest{}, 3, message.RefusedRegion},
		{"burst", func(c *state.Config) {
			c.Plans[0].Services[0].SharePercent, c.Plans[0].Services[0].BurstPercent = 25, 75
		}, message.GrantRequest{}, 3, message.RefusedCustomer},
		{"link", func(c *state.Config) {
			c.Links = []state.Link{{From: "east", To: "west", BytesPerSecond: 250}, {From: "west", To: "east", BytesPerSecond: 1}}
		}, west, 2, message.RefusedLink},
		{"shift", func(c *state.Config) {
			c.Shifts = []state.Shift{{Name: "s", From: "west", To: "east", MaxRunning: 1}}
		}, message.GrantRequest{EntryRegion: "west", Shift: "s"}, 1, message.RefusedShift},
		{"shift that the entry instance does not know", func(c *state.Config) {
			c.Shifts = []state.Shift{{Name: "s", From: "west", To: "east", MaxRunning: 1}}
			c.Drains = []state.Drain{{Kind: state.DrainRegion, Name: "west"}}
		}, message.GrantRequest{EntryRegion: "west"}, 1, message.RefusedShift},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cl := &client{h: newTestHome(c.change)}
			granted, last := cl.fill(0, c.request)
			g.Expect(granted).To(HaveLen(c.granted))
			g.Expect(last.Refusal).To(Equal(c.refusal))
			g.Expect(last.After).To(BeNumerically(">", 0))
			// A request that may wait is served when a grant ends, and refused with the same reason otherwise.
			wait := c.request
			wait.Wait = 100 * time.Millisecond
			first, second := cl.ask(ms, wait), cl.ask(ms, wait)
			g.Expect(cl.replies()).To(BeEmpty())
			cl.release(2*ms, granted[0], message.ResultOK, time.Millisecond)
			g.Expect(cl.replies()).To(HaveKeyWithValue(first, HaveField("Refusal", message.RefusedNone)))
			cl.h.Tick(200 * ms)
			g.Expect(cl.replies()).To(HaveKeyWithValue(second, HaveField("Refusal", c.refusal)))
			st := cl.h.Status()
			g.Expect(st.Running).To(Equal(c.granted))
			g.Expect(st.Refused).To(ContainElement(state.RefusalCount{Reason: string(c.refusal), Count: 2}))
		})
	}
}

// Guards against a request that waits although it can never be granted.
func TestImpossibleRequestsAreRefusedAtOnce(t *testing.T) {
	change := func(c *state.Config) {
		c.Links = []state.Link{{From: "east", To: "west", BytesPerSecond: 50}}
		c.Plans = append(c.Plans, state.Plan{Name: "other", Regions: []state.RegionName{"west"}})
		c.Customers = append(c.Customers, state.Customer{Name: "foreign", Plan: "other"})
		c.Drains = []state.Drain{{Kind: state.DrainBackend, Name: "tapes-0"}, {Kind: state.DrainBackend, Name: "tapes-1"}}
	}
	for want, r := range map[message.Refusal]message.GrantRequest{
		message.RefusedPlan:      {Customer: "foreign"},
		message.RefusedUnknown:   {Customer: "nobody"},
		message.RefusedLink:      {EntryRegion: "west", Rate: 51},
		message.RefusedShift:     {EntryRegion: "west", Shift: "none"},
		message.RefusedNoBackend: {Service: "tapes"},
	} {
		g := NewWithT(t)
		cl := &client{h: newTestHome(change)}
		r.Wait = time.Second
		id := cl.ask(0, r)
		g.Expect(cl.replies()).To(HaveKeyWithValue(id, HaveField("Refusal", want)))
	}
}

// Guards against a ramp that starts before the shift is in force, exceeds its rate, or restarts at each revision.
func TestShiftRamp(t *testing.T) {
	g := NewWithT(t)
	shift := state.Shift{Name: "s", From: "west", To: "east", MaxRunning: 3, RampPerSecond: 1}
	h := newTestHome(nil)
	cl := &client{h: h}
	h.Tick(5000 * ms)
	c := testConfig(func(c *state.Config) { c.Shifts = []state.Shift{shift} })
	h.ApplyConfig(c, state.NewIndex(c))
	r := message.GrantRequest{EntryRegion: "west", Shift: "s"}
	for i, want := range []int{0, 1, 1, 1, 0} {
		now := 5000*ms + state.Instant(i)*1000*ms
		cl.renewAll(now)
		granted, _ := cl.fill(now, r)
		g.Expect(granted).To(HaveLen(want), "after %d s", i)
		g.Expect(h.Status().Shifts).To(ConsistOf(state.ShiftLoad{Shift: "s", Running: min(i, 3), Allowed: min(i, 3), Max: 3}))
		h.ApplyConfig(c, state.NewIndex(c))
	}
}

// Guards against head-of-line blocking: a request that waits for a link must not delay one that needs none.
func TestBlockedRequestDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(func(c *state.Config) {
		c.Links = []state.Link{{From: "east", To: "west", BytesPerSecond: 100}}
	})}
	held, _ := cl.fill(0, message.GrantRequest{EntryRegion: "west", Rate: 100})
	g.Expect(held).To(HaveLen(1))
	blocked := cl.ask(0, message.GrantRequest{EntryRegion: "west", Rate: 100, Wait: time.Second})
	local := cl.ask(0, message.GrantRequest{Wait: time.Second})
	other := cl.ask(0, message.GrantRequest{Customer: "small", Wait: time.Second})
	replies := cl.replies()
	g.Expect(replies).To(HaveLen(2))
	g.Expect(replies).To(And(HaveKey(local), HaveKey(other)))
	cl.release(ms, held[0], message.ResultOK, 0)
	g.Expect(cl.replies()).To(HaveKey(blocked))
}

// Guards against a busy customer that delays a customer within its plan, and against one customer that fills the queue.
func TestScarceSlotsGoToLowestShare(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	g.Expect(held).To(HaveLen(4))
	for range MaxQueuedPerCustomer {
		cl.ask(0, message.GrantRequest{Wait: time.Second})
	}
	full := cl.ask(0, message.GrantRequest{Wait: time.Second})
	small := cl.ask(0, message.GrantRequest{Customer: "small", Wait: time.Second})
	g.Expect(cl.replies()).To(And(HaveLen(1), HaveKeyWithValue(full, HaveField("Refusal", message.RefusedQueueFull))))
	cl.release(ms, held[0], message.ResultOK, 0)
	g.Expect(cl.replies()).To(And(HaveLen(1), HaveKey(small)))
}

// Guards against lending guaranteed slots to long requests, which their owner could not regain within ReclaimTime.
func TestLongRequestsAreNotLentGuaranteedSlots(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, last := cl.fill(0, message.GrantRequest{Service: "tapes"})
	g.Expect(held).To(HaveLen(2))
	g.Expect(last.Refusal).To(Equal(message.RefusedCustomer))
	held, _ = cl.fill(0, message.GrantRequest{Service: "tapes", Customer: "small"})
	g.Expect(held).To(HaveLen(2))
}

// Guards against refusing a customer with a small share at an idle service because all slots are guaranteed to others.
func TestSmallShareRunsOnIdleService(t *testing.T) {
	for service, want := range map[state.ServiceName]int{"search": 4, "tapes": 1} {
		g := NewWithT(t)
		cl := &client{h: newTestHome(func(c *state.Config) {
			small := c.Plans[0]
			small.Name, small.Services = "tiny", []state.PlanService{
				{Service: "search", BurstPercent: 100}, {Service: "tapes", BurstPercent: 100},
			}
			c.Plans = append(c.Plans, small)
			c.Customers = append(c.Customers, state.Customer{Name: "third", Plan: "tiny"})
		})}
		granted, _ := cl.fill(0, message.GrantRequest{Service: service, Customer: "third"})
		g.Expect(granted).To(HaveLen(want))
	}
}

// Guards against wrong counters after a server was removed and added again while grants ran.
func TestServerThatLeavesAndReturnsStaysCounted(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	g.Expect(held).To(HaveLen(4))
	without := testConfig(func(c *state.Config) { c.Backends = c.Backends[1:] })
	cl.h.ApplyConfig(without, state.NewIndex(without))
	restored := testConfig(nil)
	cl.h.ApplyConfig(restored, state.NewIndex(restored))
	again, _ := cl.fill(ms, message.GrantRequest{})
	g.Expect(again).To(BeEmpty())
	for _, r := range held {
		cl.release(2*ms, r, message.ResultOK, 0)
	}
	g.Expect(cl.h.Status().Running).To(BeZero())
	again, _ = cl.fill(3*ms, message.GrantRequest{})
	g.Expect(again).To(HaveLen(3), "the server that was added again must warm up with one slot")
}
