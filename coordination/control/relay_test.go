package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Guards against members that never receive the load of another region, or receive a change only at the next refresh.
func TestRelaysForwardChanges(t *testing.T) {
	g := NewWithT(t)
	r := newRelays()
	report := func(running int, epoch message.Epoch) *message.RegionStatus {
		return &message.RegionStatus{Region: "q", Home: "a", Epoch: epoch, Running: running, MaxRunning: 64}
	}
	count := func(now time.Duration, m *message.RegionStatus) int {
		r.offer(state.Instant(now), m)
		return len(r.take())
	}
	g.Expect(count(0, report(10, 1))).To(Equal(1))
	g.Expect(count(time.Second, report(12, 1))).To(Equal(0), "a change of at most 1/32")
	g.Expect(count(2*time.Second, report(13, 1))).To(Equal(1), "a change of more than 1/32")
	g.Expect(count(3*time.Second, report(13, 2))).To(Equal(1), "a new home")
	g.Expect(count(4*time.Second, report(13, 2))).To(Equal(0))
	g.Expect(count(8*time.Second, report(13, 2))).To(Equal(1), "a refresh")
}

// Guards against loads of other regions that homes do not relay to their members.
func TestMembersKnowLoadsOfAllRegions(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8)
	f.run(8 * time.Second)
	for _, c := range f.cores {
		g.Expect(c.loads).To(HaveLen(2), "at %s", c.self.Name)
	}
}
