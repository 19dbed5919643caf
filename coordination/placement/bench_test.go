package placement

import (
	"fmt"
	"testing"
	"time"

	"azurebridge/coordination/catalog"
)

// BenchmarkPlace measures the choice for one of 500 objects among the servers of the largest services.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{18, 91, 318} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			v := newView(servers, "north", "south", "west")
			s := v.Services["search"]
			s.Work.Record(catalog.MemberWork, 100*time.Millisecond, 0, 4)
			random := newSimClock(1, 1).random
			b.ReportAllocs()
			for i := range b.N {
				r := newSpreadRequest(fmt.Sprint("object-", i%500))
				r.Random = random.Float64
				s.Objects.Record(r.Object)
				if _, reason := Place(v, r, now); reason != Chosen {
					b.Fatal(reason)
				}
			}
		})
	}
}
