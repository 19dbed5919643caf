package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Bounds of the rules of overload: by how much a more urgent kind of requests may be served less often, or earn a smaller share of
// its value, than a less urgent one, and the least share of a customer beside that of all.
const (
	maxServedInversion = 0.05
	maxValueInversion  = 0.15
	minCustomerShare   = 0.25
)

// since returns the time since the start of the replay.
func (r *replay) since() time.Duration { return r.now.Sub(state.Instant(time.Hour)) }

// during returns a rate that is multiplied by the factor from the first time to the second.
func during(from, to time.Duration, factor float64) func(*replay, int) float64 {
	return func(r *replay, _ int) float64 {
		if at := r.since(); at >= from && at < to {
			return factor
		}
		return 1
	}
}

// loadPatterns are the patterns of load that overload control has to withstand.
var loadPatterns = map[string]func(*replay){
	"steady overload": func(r *replay) { r.rateAt = during(0, time.Hour, 2.5) },
	"burst of one kind": func(r *replay) {
		burst := func(r *replay) bool { return r.since() >= 8*time.Second && r.since() < 14*time.Second }
		r.rateAt = func(r *replay, kind int) float64 {
			if kind == 1 && burst(r) {
				return 10
			}
			return 1.3
		}
		r.counted = burst // most requests of the kind fall into this time, most others do not
	},
	"callers that retry immediately": func(r *replay) {
		r.rateAt = during(0, time.Hour, 2.5)
		r.onRefused = func(r *replay, c *replayCall) { r.comeBack(c, 10*time.Millisecond) }
	},
	"region short of servers": func(r *replay) {
		r.regions[0] /= 6
		r.rateAt = during(0, time.Hour, 1.8)
	},
	"all servers reject for a time": func(r *replay) {
		r.rejecting = func(r *replay, _ int) bool { return r.since() >= 8*time.Second && r.since() < 11*time.Second }
	},
	"work times that change": func(r *replay) {
		r.slowServers, r.slowness = 0.15, 2.5
		r.rateAt = during(0, time.Hour, 1.5)
	},
}

// Guards against a load pattern in which overload control loses value against the rules before, serves more urgent requests less
// often than less urgent ones, or lets them earn less of their value.
func TestLoadPatterns(t *testing.T) {
	for name, pattern := range loadPatterns {
		for site, shape := range map[string]func() replay{"A": siteA, "B": siteB} {
			t.Run(name+"/"+site, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				before := playAll(shape, replaySeeds, pattern)
				after := playAll(shape, replaySeeds, func(r *replay) { pattern(r); r.enabled = true })
				before.show(t, "before")
				after.show(t, "after")
				g.Expect(after.all().mean()).To(BeNumerically(">", before.all().mean()), "value")
				for i, urgent := range after.kinds {
					for j, other := range after.kinds {
						if urgent.priority >= other.priority {
							continue
						}
						g.Expect(after.total[i].share()).To(BeNumerically(">", after.total[j].share()-maxServedInversion), "served: kind %d, %d", i, j)
						g.Expect(after.total[i].mean()).To(BeNumerically(">", after.total[j].mean()-maxValueInversion), "value: kind %d, %d", i, j)
					}
				}
			})
		}
	}
}

// Guards against customers that are hardly served because one sends seven times its usual, or because their priority is the lowest.
func TestNoCustomerIsStarved(t *testing.T) {
	t.Parallel()
	after := playAll(siteB, replaySeeds, func(r *replay) {
		r.enabled = true
		r.customers = []float64{7, 1, 1, 1, 1, 1, 1, 1}
		r.customerPriority = []int{0, 0, 1, 1, 2, 2, 3, 5}
		r.rateAt = during(0, time.Hour, 2.5)
	})
	after.show(t, "after")
	g, all := NewWithT(t), after.all().share()
	for i, c := range after.byCust {
		t.Logf("customer %d: served %.3f value %.3f", i, c.share(), c.mean())
		g.Expect(c.share()).To(BeNumerically(">", minCustomerShare*all), "customer %d", i)
	}
	g.Expect(after.byCust[1].share()).To(BeNumerically(">", after.byCust[7].share()))
}

// Guards against refusals where capacity suffices: with the usual load after a start nothing is refused.
func TestNothingIsRefusedWhileCapacitySuffices(t *testing.T) {
	for name, shape := range map[string]func() replay{"A": siteA, "B": siteB, "earlier": siteEarlier} {
		after := playAll(shape, replaySeeds, func(r *replay) {
			r.enabled, r.skew = true, 0.5
			r.rateAt = func(r *replay, _ int) float64 { return min(0.5, 0.1+r.since().Seconds()/20) } // caches fill first
		})
		refused := 0
		for _, c := range after.total {
			for reason, n := range c.refused {
				if reason.OfOverload() {
					refused += n
				}
			}
		}
		after.show(t, name)
		NewWithT(t).Expect(refused).To(BeNumerically("<=", after.all().sent/1000), name)
	}
}
