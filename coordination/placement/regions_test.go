package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that leave their region although the way takes a large part of the time they have, and against
// regions that cache all objects for themselves although the way is short.
func TestLocalShareGrowsWithTheDistance(t *testing.T) {
	g := NewWithT(t)
	shareAt := func(distance time.Duration) float64 {
		v := newView(12, "north", "south", "west")
		if distance > 0 {
			for _, region := range v.Services["search"].Regions {
				region.Distance.Record(distance)
			}
		}
		const objects = 4000
		local := 0
		for n := range objects {
			if s, _ := Choose(v, newRequest(fmt.Sprint("object-", n)), now); s.Region == "north" {
				local++
			}
		}
		return float64(local) / objects
	}
	share := func(weight float64) float64 { return weight / (weight + 2) } // of three regions of equal size
	g.Expect(shareAt(0)).To(BeNumerically("~", share(minLocalWeight), 0.03), "the distance is not known")
	g.Expect(shareAt(20*time.Millisecond)).To(BeNumerically("~", share(minLocalWeight), 0.03), "the target latency is 500 ms")
	g.Expect(shareAt(200 * time.Millisecond)).To(BeNumerically("~", share(maxLocalWeight), 0.03))
}
