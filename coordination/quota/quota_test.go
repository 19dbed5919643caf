package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 200, 30) }

var limit = RetryLimit{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}

// Guards against retries of all instances together that exceed the limit in some span of Window.
func TestRetriesOfAllInstancesStayUnderTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		budgets := make([]RetryBudget, n)
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range 400 {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			now := state.Instant(time.Hour).Add(at)
			b := &budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now, limit)
				requests = append(requests, at)
			} else if b.Allow(now, limit, n) {
				retries = append(retries, at)
			}
		}
		count := func(times []time.Duration, from time.Duration) (n int) {
			for _, at := range times {
				if at >= from && at < from+limit.Window {
					n++
				}
			}
			return n
		}
		for _, start := range retries {
			in := count(retries, start)
			before := max(count(requests, start), count(requests, start-limit.Window), count(requests, start-limit.Window/2))
			if allowed := limit.Ratio*float64(before) + limit.Extra; float64(in) > allowed {
				t.Fatalf("%d retries in the window that starts at %s, allowed are %.1f", in, start, allowed)
			}
		}
	})
}

// Guards against an instance that does not know the number of instances but still uses Extra, which all share.
func TestUnknownInstanceCountAllowsNoSharedRetries(t *testing.T) {
	g := NewWithT(t)
	var b RetryBudget
	g.Expect(b.Allow(state.Instant(time.Hour), limit, 0)).To(BeFalse())
	g.Expect(b.Allow(state.Instant(time.Hour), limit, 10)).To(BeTrue())
}

// Guards against a retry budget that never recovers.
func TestRetriesExpireAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	var b RetryBudget
	now := state.Instant(time.Hour)
	for b.Allow(now, limit, 10) {
	}
	g.Expect(b.Allow(now.Add(limit.Window), limit, 10)).To(BeFalse(), "a bucket counts until all of it has left the window")
	g.Expect(b.Allow(now.Add(limit.Window*(buckets+1)/buckets), limit, 10)).To(BeTrue())
}

// Guards against more requests/s to a cold server than its limit, summed over all instances, in any second.
func TestColdServerStaysUnderItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ColdLimit{Factor: 1.5, Tolerance: float64(rapid.IntRange(5, 20).Draw(t, "tolerance"))}
		rate := float64(rapid.IntRange(1, 40).Draw(t, "rate"))
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		var peers []state.InstanceName
		for i := range n {
			peers = append(peers, state.InstanceName(fmt.Sprintf("front-%d", i)))
		}
		pacers := make([]Pacer, n)
		var sent []time.Duration
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			for i, p := range peers {
				if IsSender(p, peers, "s-1", l.ColdSenders(rate)) && pacers[i].Allow(state.Instant(time.Hour).Add(at), ColdPace) {
					sent = append(sent, at)
				}
			}
		}
		for _, start := range sent {
			in := 0
			for _, at := range sent {
				if at >= start && at < start+time.Second {
					in++
				}
			}
			if allowed := rate*l.Factor + l.Tolerance; float64(in) > allowed {
				t.Fatalf("%d requests in the second that starts at %s, allowed are %.1f", in, start, allowed)
			}
		}
	})
}

// Guards against an instance without a view of the fleet that sends to cold servers in addition to the chosen senders.
func TestUnlistedInstanceIsNoSender(t *testing.T) {
	g := NewWithT(t)
	g.Expect(IsSender("front-1", nil, "s-1", 4)).To(BeFalse())
	g.Expect(IsSender("front-1", []state.InstanceName{"front-2"}, "s-1", 4)).To(BeFalse())
	g.Expect(IsSender("front-1", []state.InstanceName{"front-1", "front-2"}, "s-1", 4)).To(BeTrue())
}
