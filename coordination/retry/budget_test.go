package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a retry storm when every first attempt fails: retries must stay at a tenth of the first attempts.
func TestRetriesStayAtTenthOfFirstAttempts(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	now := state.Instant(0)
	for range 10000 {
		now = now.Add(time.Millisecond)
		b.Attempt()
		b.Retry(now)
	}
	g.Expect(b.Retries).To(BeNumerically("<=", 1000+StartTokens+1))
	g.Expect(b.Retries).To(BeNumerically(">=", 1000))
	g.Expect(b.Refused).To(Equal(uint64(10000) - b.Retries))
}

// Guards against a service with few requests that can never retry, and against a burst above MaxTokens after a long idle time.
func TestFloorAndBurst(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	for range StartTokens {
		g.Expect(b.Retry(0)).To(BeTrue())
	}
	g.Expect(b.Retry(0)).To(BeFalse())
	g.Expect(b.Retry(state.Instant(FloorInterval))).To(BeTrue())
	late, n := state.Instant(time.Hour), 0
	for b.Retry(late) {
		n++
	}
	g.Expect(n).To(Equal(MaxTokens))
}
