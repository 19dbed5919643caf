package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// Guards against a restart that is taken for a new instance, whose quotas would start late, and against an entry that loses the time
// at which the instance joined.
func TestRestartedInstanceKeepsTheTimeAtWhichItJoined(t *testing.T) {
	f := newFixture(t, 1)
	joined := f.program.loop.View().JoinedMS
	f.Expect(joined).To(BeNumerically("~", time.Now().UnixMilli(), 60_000))
	entry := func(p *program) func() []routing.Peer { return func() []routing.Peer { return p.loop.View().Peers } }
	f.Expect(entry(f.program)()).To(ConsistOf(HaveField("JoinedMS", joined)))

	second := f.start("front-1")
	f.Eventually(entry(second), waitTimeout).Should(ConsistOf(And(
		HaveField("JoinedMS", joined), HaveField("CallersAddress", second.cfg.Callers.String()))))
	f.Expect(second.loop.View().JoinedMS).To(Equal(joined))
}
