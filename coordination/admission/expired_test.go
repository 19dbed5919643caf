package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Guards against overload of a region while a holder is paused past its lease: its requests still run at the backend
// servers, so their slots must not be granted to others before it is proved that they have ended.
func TestRequestsOfPausedHolderStayCounted(t *testing.T) {
	limit := func(c *state.Config) { c.Regions[0].MaxRunning = 3 }
	deadline := func(c *state.Config) { limit(c); c.Services[0].Deadline = 2 * time.Second }
	report := func(h *Home, now state.Instant) {
		h.HandleReport(now, "i1", 1, &message.HeldGrants{Region: "east", Epoch: 1, Seq: 1, NextID: 100})
	}
	for _, c := range []struct {
		name   string
		config func(*state.Config)
		proof  func(h *Home, now state.Instant)
		at     state.Instant // of the proof
		freed  bool
	}{
		{"no proof", limit, func(*Home, state.Instant) {}, 5000 * ms, false},
		{"a report of the holder omits them", limit, report, 5000 * ms, true},
		{"the holder has ended", limit, func(h *Home, now state.Instant) { h.ProcessEnded(now, Suspect{"i1", 1}) }, 1200 * ms, true},
		{"an earlier process has ended", limit, func(h *Home, now state.Instant) { h.ProcessEnded(now, Suspect{"i1", 0}) }, 1200 * ms, false},
		{"before the deadline", deadline, func(*Home, state.Instant) {}, 3050 * ms, false},
		{"past the deadline", deadline, func(*Home, state.Instant) {}, 3110 * ms, true},
		{"past the limit", limit, func(*Home, state.Instant) {}, 1110*ms + state.Instant(ExpiredGrantLimit), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cl := &client{h: newTestHome(c.config)}
			held, _ := cl.fill(0, message.GrantRequest{})
			g.Expect(held).To(HaveLen(3))
			cl.h.Tick(1150 * ms)
			g.Expect(cl.h.TakeSuspects()).To(ConsistOf(Suspect{"i1", 1}))
			c.proof(cl.h, c.at)
			cl.h.Tick(c.at)
			cl.h.Request(c.at, "i2", 1, &message.GrantRequest{ID: 1, Region: "east", Service: "search", Customer: "small", EntryRegion: "east", Wait: time.Second})
			g.Expect(cl.replies()[1] != nil).To(Equal(c.freed))
			g.Expect(cl.h.Status().Running <= 3).To(BeTrue())
		})
	}
}

// Guards against a slot that stays occupied for ExpiredGrantLimit because the reply with the grant was lost: its holder
// runs, so nothing proves that it has ended, and it sends no report because it holds no grants.
func TestLostGrantIsFreedByReport(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	g.Expect(held).To(HaveLen(4)) // the holder receives none of the replies
	o := NewHolder(state.Instance{Name: "i1", Incarnation: 1, Region: "east"}, func(state.RegionName) (state.InstanceName, message.Epoch) { return "home", 1 })
	o.nextID = 100
	o.Tick(0)
	o.TakeOutbound()
	for now := state.Instant(0); now < 1500*ms; now += 20 * ms {
		cl.h.Tick(now)
		for _, out := range cl.h.TakeOutbound() {
			o.Confirm(now, "home", out.Body.(*message.HeldGrantsReply))
		}
		o.Tick(now)
		for _, out := range o.TakeOutbound() {
			cl.h.HandleReport(now, "i1", 1, out.Body.(*message.HeldGrants))
		}
	}
	g.Expect(cl.h.Status().Running).To(BeZero())
}
