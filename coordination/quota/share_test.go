package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/state"
)

// Guards against parts of a limit that exceed it together, whatever the limit and the number of instances, and against a count that
// a Pacer cannot remember.
func TestPartsOfALimitStayUnderIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(MinNamedRate, 5000).Draw(t, "rate")
		n := rapid.IntRange(1, 300).Draw(t, "instances")
		sum := 0
		for i := range n {
			pace := LimitPace(rate, n, func(senders int) bool { return i < senders }, 0)
			if pace.Count < 1 || pace.Count > MaxPaceCount {
				t.Fatalf("count %d", pace.Count)
			}
			if sender := i < int(limitSafety*(limitFactor*rate*4+limitTolerance)); sender {
				sum += pace.Count * (int(limitWindow/pace.Per) + 1)
			}
		}
		if allowed := limitFactor*rate*4 + limitTolerance; float64(sum) > allowed {
			t.Fatalf("the senders may send %d requests in 4 s, allowed are %.1f", sum, allowed)
		}
	})
}

// Guards against an instance that uses a limit which others may be using, because it does not know how many there are.
func TestUnknownInstanceCountLeavesTheLimitToOthers(t *testing.T) {
	g := NewWithT(t)
	pace := LimitPace(100, 0, func(int) bool { return true }, 0)
	g.Expect(pace).To(Equal(Pace{Count: 1, Per: maxLimitInterval}))
}

// Guards against more requests in some span than a pace allows, and against a pace of none that allows some.
func TestPacerKeepsThePaceInAnySpan(t *testing.T) {
	g := NewWithT(t)
	var p Pacer
	pace := Pace{Count: 3, Per: time.Second}
	at := func(ms int) state.Instant { return state.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(p.Allow(at(0), Pace{})).To(BeFalse())
	p.Record(at(0))
	for _, c := range []struct {
		ms   int
		want bool
	}{{100, true}, {200, true}, {900, false}, {1000, true}, {1050, false}, {1100, true}, {1150, false}, {1200, true}, {1300, false}} {
		g.Expect(p.Ready(at(c.ms), pace)).To(Equal(c.want), "%d ms", c.ms)
		g.Expect(p.Allow(at(c.ms), pace)).To(Equal(c.want), "%d ms", c.ms)
	}
}
