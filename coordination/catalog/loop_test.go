package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a departure that is not published because a constant flow of observations keeps the control goroutine's queue
// from becoming empty.
func TestDepartureIsPublishedUnderAFloodOfObservations(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	l := NewLoop(newTestCore(), state.MonotonicClock(), func(LogEntry) {})
	done.Go(func() { l.Run(ctx) })
	l.Send(ctx, Listed{Revision: Revision{Number: 1}, Items: servers(400)})
	g.Eventually(func() []string { return names(l.View()) }, 10*time.Second).Should(HaveLen(400))
	for range 4 {
		done.Go(func() {
			for ctx.Err() == nil {
				l.Observe(Observed{Server: "unknown", Outcome: Answered})
			}
		})
	}
	g.Eventually(l.Dropped.Load, 10*time.Second).Should(BeNumerically(">", 0), "the queue is full")
	l.Send(ctx, Changed{After: Revision{Number: 1}, Revision: Revision{Number: 2}, Items: []Item{draining(0)}})
	g.Eventually(func() []string { return names(l.View()) }, 10*time.Second).Should(HaveLen(399))
}
