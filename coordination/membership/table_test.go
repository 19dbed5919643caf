package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

func instant(d time.Duration) state.Instant { return state.Instant(d) }

func newInstance(name state.InstanceName, region state.RegionName, inc state.Incarnation, s state.InstanceStatus) state.Instance {
	return state.Instance{Name: name, Region: region, Incarnation: inc, Status: s}
}

// Each row guards against one wrong status of instance "b" at a home of region "r" that received a message from incarnation 5
// of it at 0 s.
func TestStatus(t *testing.T) {
	live, leaving := state.InstanceLive, state.InstanceLeaving
	for _, row := range []struct {
		name  string
		steps func(t *Table)
		want  state.InstanceStatus
	}{
		{"listed, but no messages", func(t *Table) { t.Tick(instant(SuspectAfter)) }, state.InstanceSuspect},
		{"no messages for DeadAfter", func(t *Table) { t.Tick(instant(DeadAfter)) }, state.InstanceDead},
		{"message in time", func(t *Table) { t.RecordMessage(instant(time.Second), "b", 5); t.Tick(instant(SuspectAfter)) }, live},
		{"message from a dead one", func(t *Table) { t.Tick(instant(DeadAfter)); t.RecordMessage(instant(6*time.Second), "b", 5) }, live},
		{"message from the earlier process of a dead one", func(t *Table) { t.Tick(instant(DeadAfter)); t.RecordMessage(instant(6*time.Second), "b", 4) }, state.InstanceDead},
		{"leaving before the list shows it", func(t *Table) { t.ApplyHeartbeat(instant(1), newInstance("b", "r", 5, leaving)) }, leaving},
		{"delayed live heartbeat", func(t *Table) {
			t.ApplyHeartbeat(instant(1), newInstance("b", "r", 5, leaving))
			t.ApplyHeartbeat(instant(2), newInstance("b", "r", 5, live))
		}, leaving},
		{"restart after leaving", func(t *Table) {
			t.ApplyHeartbeat(instant(1), newInstance("b", "r", 5, leaving))
			t.ApplyHeartbeat(instant(2), newInstance("b", "r", 6, live))
		}, live},
		{"report from the home of another region", func(t *Table) {
			t.ApplyHomeReport(instant(1), "q", []state.Instance{newInstance("b", "r", 5, state.InstanceDead)})
		}, live},
		{"member adopts the report of its home", func(t *Table) {
			t.SetHome(instant(1), false, "")
			t.ApplyHomeReport(instant(2), "r", []state.Instance{newInstance("b", "r", 0, state.InstanceSuspect)})
		}, state.InstanceSuspect},
		{"new home does not wait for the previous one", func(t *Table) {
			t.SetHome(instant(1), false, "")
			t.SetHome(instant(SuspectAfter), true, "b")
		}, state.InstanceSuspect},
		{"new home waits for other members", func(t *Table) {
			t.SetHome(instant(1), false, "")
			t.SetHome(instant(SuspectAfter), true, "c")
		}, live},
	} {
		g := NewWithT(t)
		table := New(0, newInstance("a", "r", 1, live))
		table.List(0, []state.Instance{newInstance("a", "r", 0, live), newInstance("b", "r", 0, live)})
		table.SetHome(0, true, "")
		table.ApplyHeartbeat(0, newInstance("b", "r", 5, live))
		row.steps(table)
		g.Expect(table.Instances()[1].Status).To(Equal(row.want), row.name)
	}
}

// Guards against look-ups that still return instances of a partitioned region, and against these not returning when the partition
// ends.
func TestPartitionedRegionAndItsReturn(t *testing.T) {
	g := NewWithT(t)
	table := New(0, newInstance("a", "r", 1, state.InstanceLive))
	table.List(0, []state.Instance{newInstance("x", "q", 0, state.InstanceLive)})
	table.SetHome(0, true, "")
	table.RecordHomeMessage(instant(time.Second), "q")
	table.Tick(instant(time.Second + PartitionAfter - 1))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceLive))
	table.Tick(instant(time.Second + PartitionAfter))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceSuspect))
	table.RecordHomeMessage(instant(time.Minute), "q")
	table.Tick(instant(time.Minute))
	g.Expect(table.Instances()[1].Status).To(Equal(state.InstanceLive))
}

// Guards against a table that retains replaced instances forever.
func TestUnlistedInstanceIsRemoved(t *testing.T) {
	g := NewWithT(t)
	table := New(0, newInstance("a", "r", 1, state.InstanceLive))
	table.List(0, []state.Instance{newInstance("b", "r", 0, state.InstanceLive)})
	table.List(instant(time.Second), nil)
	g.Expect(table.Absent(instant(time.Second+AbsentAfter), "b")).To(BeTrue())
	table.Tick(instant(time.Second + RemoveAfter - 1))
	g.Expect(table.Instances()).To(HaveLen(2))
	table.Tick(instant(time.Second + RemoveAfter))
	g.Expect(table.Instances()).To(HaveLen(1))
}
