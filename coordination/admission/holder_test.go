package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// newTestHolder returns a holder and its map of homes, which the test can change.
func newTestHolder() (*Holder, map[state.RegionName]message.HomeClaim) {
	homes := map[state.RegionName]message.HomeClaim{"east": {Home: "h1", Epoch: 1}, "south": {Home: "h9", Epoch: 1}}
	self := state.Instance{Name: "i1", Incarnation: 5, Region: "east"}
	return NewHolder(self, func(r state.RegionName) (state.InstanceName, message.Epoch) {
		return homes[r].Home, homes[r].Epoch
	}), homes
}

// sent returns the requests among the holder's outbound messages, and their receivers.
func sent(o *Holder) (list []*message.GrantRequest, to []state.InstanceName) {
	for _, m := range o.TakeOutbound() {
		if r, ok := m.Body.(*message.GrantRequest); ok {
			list, to = append(list, r), append(to, m.To)
		}
	}
	return list, to
}

func grantReply(id message.GrantID, epoch message.Epoch, sentAt state.Instant, waited time.Duration) *message.GrantReply {
	return &message.GrantReply{ID: id, Region: "east", Epoch: epoch, Backend: "search-0", Holder: 5, SentAt: sentAt, Waited: waited}
}

// Guards against an Ask that is not sent to the next home when the home changes, and against the use of a grant of the
// earlier home after the holder has reported to the later one.
func TestPendingRequestMovesToNewHome(t *testing.T) {
	g := NewWithT(t)
	o, homes := newTestHolder()
	a := &testRequester{}
	o.Ask(0, &Ask{Service: "search", Customer: "big", Wait: time.Second, Regions: []Target{{Region: "east"}}}, a)
	first, _ := sent(o)
	homes["east"] = message.HomeClaim{Home: "h2", Epoch: 2}
	o.Tick(100 * ms)
	again, to := sent(o)
	g.Expect(again).To(ConsistOf(HaveField("ID", first[0].ID)))
	g.Expect(to).To(ConsistOf(state.InstanceName("h2")))
	o.Reply(101*ms, "h1", grantReply(first[0].ID, 1, 0, 0))
	g.Expect(a.answers).To(BeZero())
	o.Reply(102*ms, "h2", grantReply(first[0].ID, 2, 100*ms, 0))
	g.Expect(a.answer.Backend).To(Equal(state.BackendName("search-0")))
}

// Guards against a wrong start of the lease of a grant that waited in the queue: counted from the request, it may have
// ended before the grant arrives; counted from the arrival of the reply, it outlasts the lease that the home counts.
func TestLeaseStartOfQueuedGrant(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		at     state.Instant
		used   bool
	}{{0, 900 * ms, true}, {0, 960 * ms, false}, {2 * time.Second, 2100 * ms, true}, {2 * time.Second, 2800 * ms, false}} {
		g := NewWithT(t)
		o, _ := newTestHolder()
		a := &testRequester{}
		o.Ask(0, &Ask{Service: "search", Customer: "big", Wait: 5 * time.Second, Regions: []Target{{Region: "east"}}}, a)
		o.Reply(c.at, "h1", grantReply(1, 1, 0, c.waited))
		g.Expect(a.answers).To(Equal(1))
		g.Expect(a.answer.Backend != "").To(Equal(c.used))
	}
}

// Guards against an unbounded number of Asks and grants.
func TestHolderBounds(t *testing.T) {
	g := NewWithT(t)
	o, _ := newTestHolder()
	ask := &Ask{Service: "search", Customer: "big", Wait: time.Second, Regions: []Target{{Region: "east"}, {Region: "south"}}}
	var asks []*testRequester
	for range MaxPending + 1 {
		asks = append(asks, &testRequester{})
		o.Ask(0, ask, asks[len(asks)-1])
	}
	g.Expect(asks[MaxPending].answer.Refusal).To(Equal(message.RefusedHolder))
	sent(o)
	for i := range MaxHeld + 1 {
		o.Reply(ms, "h1", grantReply(message.GrantID(i+1), 1, 0, 0))
	}
	g.Expect(o.Held("east")).To(Equal(MaxHeld))
	over, to := sent(o)
	g.Expect(to).To(Equal([]state.InstanceName{"h9"}), "the Ask beyond the bound must go to the next region")
	g.Expect(over[0].ID).To(Equal(message.GrantID(MaxHeld + 1)))
	// Releases are sent in messages of bounded size.
	for _, a := range asks[:MaxHeld] {
		o.Release("east", message.Release{ID: a.answer.ID, Backend: "search-0"})
	}
	o.Flush()
	n := 0
	for _, m := range o.TakeOutbound() {
		if r, ok := m.Body.(*message.GrantRelease); ok {
			g.Expect(len(r.Releases)).To(BeNumerically("<=", message.MaxReleases))
			n += len(r.Releases)
		}
	}
	g.Expect(n).To(Equal(MaxHeld + 1))
}

// Guards against a lost release that occupies a slot until the end of the lease: the next report must free it.
func TestLostReleaseIsReported(t *testing.T) {
	g := NewWithT(t)
	o, _ := newTestHolder()
	a := &testRequester{}
	o.Ask(0, &Ask{Service: "search", Customer: "big", Regions: []Target{{Region: "east"}}}, a)
	o.Tick(0)
	o.Reply(ms, "h1", grantReply(1, 1, 0, 0))
	o.Release("east", message.Release{ID: 1, Backend: "search-0"})
	o.Flush()
	o.TakeOutbound()
	o.Tick(300 * ms)
	g.Expect(o.TakeOutbound()).To(ContainElement(HaveField("Body", BeAssignableToTypeOf(&message.HeldGrants{}))))
}

// Guards against a confirmation that extends a grant which its report did not list, or one whose lease has expired.
func TestConfirmationExtendsListedGrantsOnly(t *testing.T) {
	g := NewWithT(t)
	o, _ := newTestHolder()
	a, b := &testRequester{}, &testRequester{}
	ask := &Ask{Service: "search", Customer: "big", Wait: time.Second, Regions: []Target{{Region: "east"}}}
	confirm := func(now state.Instant, seq uint64, sentAt state.Instant) {
		o.Confirm(now, "h1", &message.HeldGrantsReply{Region: "east", Epoch: 1, Seq: seq, SentAt: sentAt, Holder: 5})
	}
	o.Ask(0, ask, a)
	o.Ask(0, ask, b)
	o.Reply(ms, "h1", grantReply(1, 1, 0, 0))
	o.Tick(500 * ms) // report 1 lists the first grant
	o.Reply(510*ms, "h1", grantReply(2, 1, 0, 0))
	confirm(520*ms, 1, 500*ms)
	o.Tick(960 * ms)
	g.Expect([]bool{a.fenced, b.fenced}).To(Equal([]bool{false, true}))
	// The process was paused: the confirmation of a report sent in time arrives after the end of the lease.
	confirm(2000*ms, 2, 960*ms)
	g.Expect(a.fenced).To(BeTrue())
	g.Expect(o.Held("east")).To(BeZero())
}
