package steering_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/coordination/steering"
	"azurebridge/state"
)

// Guards against look-ups that return an instance that accepts no callers, prefer an instance of another region, or move callers
// of instances that did not change.
func TestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := fleet()
		status := rapid.SampledFrom([]state.InstanceStatus{state.InstanceLive, state.InstanceLive, state.InstanceSuspect, state.InstanceDead})
		for i := range s.Instances {
			s.Instances[i].Status = status.Draw(t, "status")
		}
		s.Leaving = rapid.Bool().Draw(t, "leaving")
		caller := rapid.Uint64().Draw(t, "caller")
		found := steering.Entries(s, "a", caller, nil)
		live, near := 0, 0
		for _, in := range s.Instances {
			if in.Status == state.InstanceLive && !(s.Leaving && in.Name == s.Self.Name) {
				live++
				if in.Region == "a" {
					near++
				}
			}
		}
		g.Expect(found).To(HaveLen(min(live, steering.MaxEntries)))
		for n, i := range found {
			g.Expect(s.Instances[i].Status).To(Equal(state.InstanceLive))
			g.Expect(s.Instances[i].Region == "a").To(Equal(n < near))
			g.Expect(s.Leaving && s.Instances[i].Name == s.Self.Name).To(BeFalse())
			g.Expect(slices.Index(found, i)).To(Equal(n))
		}
		if len(found) == 0 {
			return
		}
		s.Instances[found[0]].Status = state.InstanceDead
		after := steering.Entries(s, "a", caller, nil)
		g.Expect(after[:len(found)-1]).To(Equal(found[1:]))
	})
}
