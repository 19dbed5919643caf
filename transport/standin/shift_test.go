package standin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against an excess over an operator's cap on a shift that is not counted, and against an excess or use from before
// the cap was set that is counted.
func TestShiftLimit(t *testing.T) {
	g := NewWithT(t)
	k := newClock()
	l := NewLedger(&state.Config{Regions: []state.Region{{Name: "a"}, {Name: "b"}}}, 20*time.Millisecond, k.now)
	l.AddRunning("s", "a", "b", 1)
	l.AddRunning("s", "a", "b", 1)
	k.advance(time.Second)
	r := l.Report()
	g.Expect(r.Shifts[0]).To(Equal(CapUse{Name: "a>b", Peak: 2, BusyMs: 2000}))
	l.AddRunning("s", "a", "b", -1)
	g.Expect(l.LimitShift(ShiftLimit{From: "a", To: "c"})).To(BeFalse())
	g.Expect(l.LimitShift(ShiftLimit{From: "a", To: "b", MaxRunning: 1})).To(BeTrue())
	k.advance(time.Second)
	r = l.Report()
	g.Expect(r.Shifts[0]).To(Equal(CapUse{Name: "a>b", Limit: 1, Peak: 1, BusyMs: 1000}))
	l.AddRunning("s", "a", "b", 1)
	k.advance(20 * time.Millisecond)
	r = l.Report()
	g.Expect(r.Overshoots()).To(Equal(1))
	l.AddRunning("s", "b", "a", 1)
	g.Expect(l.Report().Shifts[1].Peak).To(Equal(1))
}
