package policybench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a change of package admission that raises tail latency, sheds requests, or grants more than the slots.
// azb-bench runs the whole comparison; this is a short part of it with a fixed seed.
func TestHomeIsCloseToIdealQueue(t *testing.T) {
	for _, change := range []func(*Scenario){
		func(*Scenario) {},
		func(sc *Scenario) { sc.Work = HeavyTailed },
		func(sc *Scenario) { sc.NoFigures = true },
		func(sc *Scenario) { sc.SlowBy = 10 },
	} {
		g := NewWithT(t)
		sc := Target()
		sc.Duration, sc.Warmup = 6*time.Second, 2*time.Second
		change(&sc)
		best, home := sc.run(&idealQueue{avoidSlow: true}), sc.run(&homePolicy{})
		g.Expect(ratio(home.Latency.Quantile(0.99), best.Latency.Quantile(0.99))).To(BeNumerically("<=", 1.3))
		g.Expect(home.PeakExcess).To(BeNumerically("<=", 0))
		g.Expect(float64(home.Shed)).To(BeNumerically("<", 0.005*float64(home.Offered)))
	}
}

// Guards against a simulator that favours one policy: all must get the same requests, and a seed must give the same
// run.
func TestRunsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	sc := Target()
	sc.Duration, sc.Warmup = 2*time.Second, 0
	a, b, other := sc.run(&homePolicy{}), sc.run(&homePolicy{}), sc.run(&random{})
	g.Expect(a.Latency).To(Equal(b.Latency))
	g.Expect(a.Offered).To(Equal(other.Offered))
}
