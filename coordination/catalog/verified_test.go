package catalog

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a view that counts as verified although the instance does not know the revision that the store had, against one
// whose proof is lost when it arrives before the changes, and against proofs of a history that the store has lost.
func TestProofCountsOnceItsRevisionIsKnown(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	verifiedAt := func() state.Instant {
		c.dirty = true
		return c.View().VerifiedAt
	}
	at := func(n int) state.Instant { return testStart.Add(time.Duration(n) * time.Second) }
	c.Step(testStart, Listed{Revision: Revision{Era: 1, Number: 5}})
	g.Expect(c.View().Age(at(9))).To(Equal(time.Duration(math.MaxInt64)))
	c.Step(testStart, Verified{At: at(1), Revision: Revision{Era: 1, Number: 5}})
	c.Step(testStart, Verified{At: at(3), Revision: Revision{Era: 1, Number: 7}})
	c.Step(testStart, Verified{At: at(2), Revision: Revision{Era: 1, Number: 6}})
	g.Expect(verifiedAt()).To(Equal(at(1)))
	c.Step(testStart, Changed{After: Revision{Era: 1, Number: 5}, Revision: Revision{Era: 1, Number: 6}})
	g.Expect(verifiedAt()).To(Equal(at(2)))
	c.Step(testStart, Changed{After: Revision{Era: 1, Number: 7}, Revision: Revision{Era: 1, Number: 8}}) // leaves a gap
	g.Expect(verifiedAt()).To(Equal(at(2)))
	c.Step(testStart, Changed{After: Revision{Era: 1, Number: 6}, Revision: Revision{Era: 1, Number: 9}})
	g.Expect(verifiedAt()).To(Equal(at(3)))
	c.Step(testStart, Verified{At: at(2), Revision: Revision{Era: 1, Number: 9}})
	g.Expect(verifiedAt()).To(Equal(at(3)), "an older proof changes nothing")
	c.Step(testStart, Verified{At: at(4), Revision: Revision{Era: 2, Number: 3}})
	g.Expect(verifiedAt()).To(Equal(at(3)), "that era is not known yet")
	c.Step(testStart, Listed{Revision: Revision{Era: 2, Number: 3}})
	g.Expect(verifiedAt()).To(Equal(at(4)))
	c.Step(testStart, Verified{At: at(5), Revision: Revision{Era: 1, Number: 9}})
	g.Expect(verifiedAt()).To(Equal(at(4)), "that era is over")
	g.Expect(c.View()).To(BeNil(), "nothing has changed")
	c.Step(testStart, Verified{At: at(6), Revision: Revision{Era: 2, Number: 3}})
	g.Expect(c.View().Age(at(8))).To(Equal(2*time.Second), "a proof alone makes a new view")
	for range 3 * maxUnmet {
		c.Step(testStart, Verified{At: at(7), Revision: Revision{Era: 2, Number: 30}})
	}
	g.Expect(len(c.unmet)).To(Equal(maxUnmet))
}
