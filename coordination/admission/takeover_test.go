package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// successor returns a home of epoch 2 that expects reports from i1 and i2.
func successor() *client {
	h := NewHome("east", 2)
	c := testConfig(nil)
	h.ApplyConfig(c, state.NewIndex(c))
	h.ExpectReports(0, []state.Instance{{Name: "i1", Incarnation: 1}, {Name: "i2", Incarnation: 1}})
	return &client{h: h}
}

func report(h *Home, now state.Instant, from state.InstanceName, inc state.Incarnation, grants ...message.HeldGrant) {
	h.HandleReport(now, from, inc, &message.HeldGrants{Region: "east", Epoch: 2, Seq: uint64(now) + 1, NextID: 100, Grants: grants})
}

func searchGrant(id message.GrantID, b state.BackendName) message.HeldGrant {
	return message.HeldGrant{ID: id, Service: "search", Customer: "big", Backend: b, Entry: "east"}
}

// Guards against a new home that grants slots that instances still use, and against one that waits longer than needed.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports func(h *Home)
		ready   state.Instant // when the home grants
		granted int           // of 4 slots
	}{
		{"all report", func(h *Home) {
			report(h, 5*ms, "i1", 1, searchGrant(7, "search-0"))
			report(h, 6*ms, "i2", 1, searchGrant(7, "search-0"), searchGrant(8, "search-1"))
		}, 6 * ms, 1},
		{"one does not report", func(h *Home) { report(h, 5*ms, "i1", 1, searchGrant(7, "search-0")) }, 1120 * ms, 3},
		{"a later process reports", func(h *Home) {
			report(h, 5*ms, "i1", 1)
			report(h, 6*ms, "i2", 2)
		}, 1120 * ms, 4},
		{"handover", func(h *Home) {
			h.ImportHandover(3*ms, &message.GrantHandover{Region: "east", Epoch: 1, Parts: 2, Grants: []message.HandedGrant{
				{Holder: "i2", Incarnation: 1, Grant: searchGrant(7, "search-0")}}})
			h.ImportHandover(4*ms, &message.GrantHandover{Region: "east", Epoch: 1, Part: 1, Parts: 2, Grants: []message.HandedGrant{
				{Holder: "i2", Incarnation: 1, Grant: searchGrant(8, "search-0")}}})
		}, 4 * ms, 2},
		{"handover of an earlier epoch", func(h *Home) {
			h.ImportHandover(3*ms, &message.GrantHandover{Region: "east", Epoch: 0, Parts: 1})
		}, 1120 * ms, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cl := successor()
			cl.next = 100
			for range 4 {
				cl.ask(2*ms, message.GrantRequest{Wait: 2 * time.Second})
			}
			c.reports(cl.h)
			if c.ready > 100*ms {
				cl.h.Tick(1100 * ms)
				g.Expect(cl.replies()).To(BeEmpty())
				if len(cl.h.peers[peerKey{"i1", 1}].grants) > 0 {
					report(cl.h, 1101*ms, "i1", 1, searchGrant(7, "search-0"))
				}
				cl.h.Tick(c.ready)
			}
			g.Expect(cl.replies()).To(HaveLen(c.granted))
			g.Expect(cl.h.Status().Collecting).To(BeFalse())
		})
	}
}

// Guards against a home that still grants after it resigned, and against a handover that omits grants.
func TestResignHandsOverAllGrants(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	waiting := cl.ask(ms, message.GrantRequest{Wait: time.Second})
	parts := cl.h.Resign(2 * ms)
	g.Expect(parts).To(HaveLen(1))
	g.Expect(parts[0].Grants).To(HaveLen(len(held)))
	g.Expect(cl.replies()).To(HaveKeyWithValue(waiting, HaveField("Refusal", message.RefusedNotHome)))
	cl.release(3*ms, held[0], message.ResultOK, 0)
	late := cl.ask(3*ms, message.GrantRequest{Wait: time.Second})
	cl.renewAll(4 * ms)
	g.Expect(cl.replies()).To(HaveKeyWithValue(late, HaveField("Refusal", message.RefusedNotHome)))
	g.Expect(cl.h.TakeOutbound()).To(BeEmpty())
}

// Guards against a report of a restarted instance that frees what its earlier process may still use.
func TestLaterIncarnationFreesNothing(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	cl.h.HandleReport(ms, "i1", 2, &message.HeldGrants{Region: "east", Epoch: 1, Seq: 1, NextID: 100})
	g.Expect(cl.h.Status().Running).To(Equal(len(held)))
	cl.h.Tick(1100 * ms)
	g.Expect(cl.h.Status().Running).To(Equal(len(held)))
	cl.h.Tick(1101 * ms)
	g.Expect(cl.h.Status().Running).To(BeZero())
}

// Guards against counting a freed grant again, since its slot may be in use by others, and against reports out of
// order.
func TestExpiredGrantsAndOutdatedReports(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	held, _ := cl.fill(0, message.GrantRequest{})
	late := 1101*ms + state.Instant(ExpiredGrantLimit)
	cl.h.Tick(1101 * ms)
	cl.h.Tick(late)
	others, _ := cl.fill(late+1*ms, message.GrantRequest{})
	g.Expect(others).To(HaveLen(4))
	m := &message.HeldGrants{Region: "east", Epoch: 1, Seq: 2, NextID: 1, Grants: []message.HeldGrant{searchGrant(held[0].ID, held[0].Backend)}}
	cl.h.HandleReport(late+2*ms, "i1", 1, m)
	g.Expect(cl.h.Status().Running).To(Equal(4))
	out := cl.h.TakeOutbound()
	g.Expect(out[len(out)-1].Body.(*message.HeldGrantsReply).Lost).To(ConsistOf(held[0].ID))
	// An earlier report that arrives late must not free what was granted since.
	cl.h.HandleReport(late+3*ms, "i1", 1, &message.HeldGrants{Region: "east", Epoch: 1, Seq: 1, NextID: 100})
	g.Expect(cl.h.Status().Running).To(Equal(4))
}
