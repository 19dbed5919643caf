package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// run requests and releases one grant and returns its server, "" when refused.
func (c *client) run(now state.Instant, result func(state.BackendName) message.Result, latency func(state.BackendName) time.Duration) state.BackendName {
	id := c.ask(now, message.GrantRequest{})
	r := c.replies()[id]
	if r.Backend == "" {
		return ""
	}
	c.release(now, r, result(r.Backend), latency(r.Backend))
	return r.Backend
}

func ok(state.BackendName) message.Result   { return message.ResultOK }
func quick(state.BackendName) time.Duration { return 10 * time.Millisecond }
func failing(b state.BackendName) message.Result {
	if b == "search-0" {
		return message.ResultTimeout
	}
	return message.ResultOK
}

// Guards against requests to an ejected server, more than one probe per backoff, and a backoff that does not grow.
func TestFailedServerIsEjectedAndProbed(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	var tries []time.Duration
	for now := state.Instant(0); now < 70000*ms; now += 10 * ms {
		cl.h.Tick(now)
		if cl.run(now, failing, quick) == "search-0" {
			tries = append(tries, time.Duration(now))
		}
	}
	// The intervals between probes double from 1 s to 30 s.
	g.Expect(tries[:3]).To(HaveEach(BeNumerically("<", 100*time.Millisecond)))
	var intervals []int
	for i := 3; i < len(tries); i++ {
		intervals = append(intervals, int((tries[i] - tries[i-1]).Round(time.Second).Seconds()))
	}
	g.Expect(intervals).To(Equal([]int{1, 2, 4, 8, 16, 30}))
	// While a probe runs there is no second one, and a recovered server begins with one slot.
	now := 200000 * ms
	held, _ := cl.fill(now, message.GrantRequest{})
	g.Expect(held).To(HaveLen(3))
	for _, r := range held {
		cl.release(now, r, message.ResultOK, 0)
	}
	held, _ = cl.fill(now+ms, message.GrantRequest{})
	g.Expect(held).To(HaveLen(3))
	cl.renewAll(now + 900*ms)
	cl.h.Tick(now + 1500*ms)
	more, _ := cl.fill(now+1500*ms, message.GrantRequest{})
	g.Expect(more).To(HaveLen(1), "warm-up must also progress with time alone")
}

// Guards against a slow server that gets as many requests as the others, and against one that never recovers.
func TestSlowServerGetsProbesOnly(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(func(c *state.Config) {
		c.Backends = append(c.Backends, state.BackendServer{Name: "search-2", Service: "search", Region: "east", Slots: 2})
	})}
	slow := true
	latency := func(b state.BackendName) time.Duration {
		if slow && b == "search-0" {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	count := func(from, to state.Instant) int {
		n := 0
		for now := from; now < to; now += 10 * ms {
			cl.h.Tick(now)
			// Two more requests run, so that the server with the lowest latency is not always chosen.
			first, second := cl.ask(now, message.GrantRequest{}), cl.ask(now, message.GrantRequest{})
			busy := cl.replies()
			if cl.run(now, ok, latency) == "search-0" {
				n++
			}
			for _, r := range []*message.GrantReply{busy[first], busy[second]} {
				if r.Backend == "search-0" {
					n++
				}
				cl.release(now, r, message.ResultOK, latency(r.Backend))
			}
		}
		return n
	}
	count(0, 2000*ms)
	g.Expect(count(2000*ms, 12000*ms)).To(BeNumerically("~", 10, 2))
	g.Expect(cl.h.Status().Services[0].Slow).To(Equal(1))
	slow = false
	count(12000*ms, 40000*ms)
	g.Expect(cl.h.Status().Services[0].Slow).To(BeZero())
	g.Expect(count(40000*ms, 41000*ms)).To(BeNumerically(">", 90))
}

// Guards against sending more requests to a server that shed one, and against reducing its slots for good.
func TestShedLowersSlotsForAWhile(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(func(c *state.Config) { c.Backends = c.Backends[:1] })}
	held, _ := cl.fill(0, message.GrantRequest{})
	g.Expect(held).To(HaveLen(2))
	cl.release(ms, held[0], message.ResultShed, 0)
	afterShed, _ := cl.fill(2*ms, message.GrantRequest{})
	g.Expect(afterShed).To(BeEmpty())
	afterRecovery, _ := cl.fill(600*ms, message.GrantRequest{})
	g.Expect(afterRecovery).To(HaveLen(1))
}

// Guards against retries beyond the retry budget.
func TestRetryBudgetRefusesRetries(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	retries, refused := 0, 0
	for i := range 1000 {
		now := state.Instant(i) * ms
		cl.run(now, ok, quick)
		id := cl.ask(now, message.GrantRequest{Exclude: []state.BackendName{"search-0"}})
		r := cl.replies()
		if r[id].Backend != "" {
			retries++
			cl.release(now, r[id], message.ResultOK, 0)
		} else {
			g.Expect(r[id].Refusal).To(Equal(message.RefusedRetry))
			refused++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", 104))
	g.Expect(retries).To(BeNumerically(">=", 100))
	g.Expect(refused).To(Equal(1000 - retries))
}

// Guards against a service that stays unavailable for the max backoff after all its servers failed together.
func TestServersThatFailTogetherReturnSoon(t *testing.T) {
	g := NewWithT(t)
	cl := &client{h: newTestHome(nil)}
	allFail := func(state.BackendName) message.Result { return message.ResultFailed }
	for now := state.Instant(0); now < 60000*ms; now += 10 * ms {
		cl.h.Tick(now)
		cl.run(now, allFail, quick)
	}
	served := 0
	for now := 60000 * ms; now < 61500*ms; now += 10 * ms {
		cl.h.Tick(now)
		if cl.run(now, ok, quick) != "" {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">=", 45))
}
