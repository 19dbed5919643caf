package homelease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

const ms = state.Instant(time.Millisecond)

// Guards against a witness that promises one region to two holders at a time; each row is one rule that prevents it.
func TestWitnessRules(t *testing.T) {
	startDelay := state.Instant(StartDelay)
	lease := state.Instant(HomeLease)
	req := func(epoch message.Epoch, record uint64) *message.VoteRequest {
		return &message.VoteRequest{Region: "r", Epoch: epoch, Record: record}
	}
	for _, row := range []struct {
		name    string
		resign  bool
		at      state.Instant
		from    state.InstanceName
		inc     state.Incarnation
		request *message.VoteRequest
		want    bool
	}{
		{"holder renews", false, startDelay + 100*ms, "a", 1, req(12, 3), true},
		{"higher epoch before the end", false, startDelay + lease - 1, "b", 1, req(13, 3), false},
		{"higher epoch after the end", false, startDelay + lease, "b", 1, req(13, 3), true},
		{"higher epoch after resignation", true, startDelay + 1, "b", 1, req(13, 3), true},
		{"same epoch of another holder", false, startDelay + lease, "b", 1, req(12, 3), false},
		{"same epoch of a later process", false, startDelay + lease, "a", 2, req(12, 3), false},
		{"lower epoch", false, startDelay + lease, "a", 1, req(11, 3), false},
		{"epoch below the floor", false, startDelay + lease, "b", 1, req(9, 3), false},
		{"older record", false, startDelay + lease, "b", 1, req(13, 2), false},
		{"renewal after resignation", true, startDelay + 1, "a", 1, req(12, 3), false},
	} {
		g := NewWithT(t)
		w := NewWitness(0, 10)
		g.Expect(w.Request(startDelay, "a", 1, req(12, 3)).Granted).To(BeFalse(), "record not read")
		w.RecordRead("r", 2)
		g.Expect(w.Request(startDelay-1, "a", 1, req(12, 3)).Granted).To(BeFalse(), "too soon after the start")
		g.Expect(w.Request(startDelay, "a", 1, req(12, 3)).Granted).To(BeTrue())
		if row.resign {
			w.Resigned("a", 1, &message.Resign{Region: "r", Epoch: 12})
		}
		g.Expect(w.Request(row.at, row.from, row.inc, row.request).Granted).To(Equal(row.want), row.name)
	}
}

// Guards against a change of the witnesses before a majority has seen the current record, and against one that changes
// two witnesses at once.
func TestChangeNeedsAcknowledgedRecord(t *testing.T) {
	g := NewWithT(t)
	live := []state.Instance{}
	for _, n := range []state.InstanceName{"a", "b", "c", "d"} {
		live = append(live, state.Instance{Name: n, Region: "r", Status: state.InstanceLive})
	}
	c := NewCandidate(0, &state.Instance{Name: "a", Incarnation: 1, Region: "r"}, 0)
	c.SetRecord(0, Record{Region: "r", Number: 4, Witnesses: []state.InstanceName{"a", "b"}})
	c.Tick(state.Instant(HomeTimeout), 0, true)
	at := state.Instant(HomeTimeout)
	for _, w := range []state.InstanceName{"a", "b"} {
		c.Reply(at, w, &message.VoteReply{Region: "r", Epoch: 1, Granted: true, Candidate: 1, SentAt: at, Record: 4})
	}
	g.Expect(c.Home(at)).To(BeEquivalentTo(1))
	next, ok := c.Propose(at, live)
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Witnesses).To(HaveLen(3))
	c.SetRecord(at, Record{Region: "r", Number: 5, Witnesses: next.Witnesses})
	_, ok = c.Propose(at, live)
	g.Expect(ok).To(BeFalse(), "votes under record 4 do not acknowledge record 5")
	for _, w := range next.Witnesses[:2] {
		c.Reply(at, w, &message.VoteReply{Region: "r", Epoch: 1, Granted: true, Candidate: 1, SentAt: at, Record: 5})
	}
	_, ok = c.Propose(at, live)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Home(at.Add(HomeLease-DriftMargin))).To(BeZero(), "the lease ends before the promises")
}

// Guards against the removal of a witness that is unresponsive but still listed, while another majority may still exist.
func TestOnlyUnlistedWitnessIsRemovedWithoutHome(t *testing.T) {
	g := NewWithT(t)
	c := NewCandidate(0, &state.Instance{Name: "a", Incarnation: 1, Region: "r"}, 0)
	c.SetRecord(0, Record{Region: "r", Number: 1, Witnesses: []state.InstanceName{"a", "b", "c"}})
	late := state.Instant(time.Minute)
	_, ok := c.ProposeRemoval(late, 0, func(state.InstanceName) bool { return false }, nil)
	g.Expect(ok).To(BeFalse())
	next, ok := c.ProposeRemoval(late, 0, func(n state.InstanceName) bool { return n == "b" }, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Witnesses).To(ConsistOf(state.InstanceName("a"), state.InstanceName("c")))
}
