package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/coordination/membership"
	"azurebridge/coordination/message"
	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

func offer(from state.Instance) control.Received {
	it := rollout.NewItem(4, []byte("data"))
	return control.Received{Envelope: &message.Envelope{From: from.Name, To: "a", Body: &message.ConfigOffer{
		Revision: 4, Digest: it.Digest, Size: len(it.Data), Sender: &from,
	}}}
}

// Guards against an instance ignoring a peer's offer when it starts while the platform does not serve the list of instances,
// and against an offer adding an instance that is not in the list once the list has arrived.
func TestOfferIntroducesSenderWithoutList(t *testing.T) {
	g := NewWithT(t)
	self := state.Instance{Name: "a", Region: "r", Status: state.InstanceLive}
	peer := state.Instance{Name: "b", Region: "r", Status: state.InstanceLive, FleetAddress: "127.0.0.2:1"}
	c := control.NewCore(self)
	c.Step(0, offer(peer))
	r := c.Ready(0)
	g.Expect(r.Snapshot.Instances).To(Equal([]state.Instance{self, peer}))
	g.Expect(r.Messages).To(HaveLen(1))
	g.Expect(r.Messages[0].Body).To(BeAssignableToTypeOf(&message.ConfigPull{}))
	// The list lags, so an instance that sent a message is retained until RemoveAfter; after that, only the list adds it again.
	c.Step(0, control.Listed{Instances: []state.Instance{self}})
	now := state.Instant(membership.RemoveAfter + time.Second)
	c.Tick(now)
	c.Step(now, offer(peer))
	g.Expect(c.Ready(now).Snapshot.Instances).To(Equal([]state.Instance{self}))
}

// Guards against an old configuration, delivered after a delay, replacing a newer one that is in force.
func TestRevisionInForceNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	c := control.NewCore(state.Instance{Name: "a", Region: "r"})
	for _, r := range []state.Revision{3, 2, 3, 1} {
		c.Step(0, control.Configured{Config: &state.Config{Revision: r}, Item: rollout.NewItem(r, []byte{byte(r)})})
	}
	g.Expect(c.Ready(0).Snapshot.Config.Revision).To(Equal(state.Revision(3)))
	known := map[state.Revision]bool{}
	for r := range state.Revision(4) {
		c.Step(0, control.FindRevision{Revision: r, Done: func(_ rollout.Item, k bool) { known[r] = k }})
	}
	g.Expect(known).To(Equal(map[state.Revision]bool{0: false, 1: false, 2: false, 3: true}))
}
