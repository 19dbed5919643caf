package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

func at(d time.Duration) state.Instant { return state.Instant(d) }

func named(name state.InstanceName, region state.RegionName, inc state.Incarnation, s state.InstanceStatus) state.Instance {
	return state.Instance{Name: name, Region: region, Incarnation: inc, Status: s}
}

// Each row guards against one wrong status of instance "b" at a home of region "r" that heard it at 0 s as incarnation 5.
func TestStatus(t *testing.T) {
	live, leaving := state.InstanceLive, state.InstanceLeaving
	for _, row := range []struct {
		name  string
		steps func(t *Table)
		want  state.InstanceStatus
	}{
		{"silent but listed", func(t *Table) { t.Tick(at(SuspectAfter)) }, state.InstanceSuspect},
		{"silent for long", func(t *Table) { t.Tick(at(DeadAfter)) }, state.InstanceDead},
		{"heard in time", func(t *Table) { t.Heard(at(time.Second), "b", 5); t.Tick(at(SuspectAfter)) }, live},
		{"dead one speaks again", func(t *Table) { t.Tick(at(DeadAfter)); t.Heard(at(6*time.Second), "b", 5) }, live},
		{"earlier process does not revive it", func(t *Table) { t.Tick(at(DeadAfter)); t.Heard(at(6*time.Second), "b", 4) }, state.InstanceDead},
		{"leaves before the list knows", func(t *Table) { t.Announced(at(1), named("b", "r", 5, leaving)) }, leaving},
		{"delayed live heartbeat", func(t *Table) {
			t.Announced(at(1), named("b", "r", 5, leaving))
			t.Announced(at(2), named("b", "r", 5, live))
		}, leaving},
		{"restart after leaving", func(t *Table) {
			t.Announced(at(1), named("b", "r", 5, leaving))
			t.Announced(at(2), named("b", "r", 6, live))
		}, live},
		{"only its own home judges it", func(t *Table) { t.Told(at(1), "q", []state.Instance{named("b", "r", 5, state.InstanceDead)}) }, live},
		{"member follows its home", func(t *Table) {
			t.Judge(at(1), false, "")
			t.Told(at(2), "r", []state.Instance{named("b", "r", 0, state.InstanceSuspect)})
		}, state.InstanceSuspect},
		{"new home knows that the previous one is silent", func(t *Table) {
			t.Judge(at(1), false, "")
			t.Judge(at(SuspectAfter), true, "b")
		}, state.InstanceSuspect},
		{"new home waits for members", func(t *Table) {
			t.Judge(at(1), false, "")
			t.Judge(at(SuspectAfter), true, "c")
		}, live},
	} {
		g := NewWithT(t)
		table := New(0, named("a", "r", 1, live))
		table.List(0, []state.Instance{named("a", "r", 0, live), named("b", "r", 0, live)})
		table.Judge(0, true, "")
		table.Announced(0, named("b", "r", 5, live))
		row.steps(table)
		g.Expect(table.Instances()[1].Status).To(Equal(row.want), row.name)
	}
}

// Guards against instances of a parted region that look-ups still name, and that do not return on merge.
func TestPartedRegionAndMerge(t *testing.T) {
	g := NewWithT(t)
	table := New(0, named("a", "r", 1, state.InstanceLive))
	table.List(0, []state.Instance{named("x", "q", 0, state.InstanceLive)})
	table.Judge(0, true, "")
	table.RegionHeard(at(time.Second), "q")
	table.Tick(at(time.Second + PartedAfter - 1))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceLive))
	table.Tick(at(time.Second + PartedAfter))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceSuspect))
	table.RegionHeard(at(time.Minute), "q")
	table.Tick(at(time.Minute))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceLive))
}

// Guards against a table that keeps replaced instances for ever.
func TestForgetsUnlisted(t *testing.T) {
	g := NewWithT(t)
	table := New(0, named("a", "r", 1, state.InstanceLive))
	table.List(0, []state.Instance{named("b", "r", 0, state.InstanceLive)})
	table.List(at(time.Second), nil)
	g.Expect(table.Gone(at(time.Second+GoneAfter), "b")).To(BeTrue())
	table.Tick(at(time.Second + ForgetAfter - 1))
	g.Expect(table.Instances()).To(HaveLen(2))
	table.Tick(at(time.Second + ForgetAfter))
	g.Expect(table.Instances()).To(HaveLen(1))
}
