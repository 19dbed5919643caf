package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// customerTable returns a table with one route of priority 1, and customers of the priorities 0 and 2.
func customerTable() *routing.Table {
	table := &routing.Table{
		Routes: []routing.Route{{Name: "r", Priority: 1, TargetLatency: 500 * time.Millisecond, Parts: []routing.Part{{Service: "search", Weight: 1}}}},
		Customers: []routing.Customer{
			{Name: "urgent", Keys: []routing.KeyDigest{routing.Digest("u")}, HasPriority: true, Priority: 0},
			{Name: "late", Keys: []routing.KeyDigest{routing.Digest("l")}, HasPriority: true, Priority: 2},
		},
	}
	table.Index()
	return table
}

// Guards against refusals by the route's priority where customers have their own: when capacity is short, the requests of the less
// urgent customer are refused first.
func TestLessUrgentCustomerIsRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	v, table := newView(1, "north"), customerTable()
	v.Services["search"].Time.Record(450*time.Millisecond, 1, 4)
	reportLoad(v.Services["search"].Servers[0], 7) // (7+1)/4 of 450 ms = 900 ms, between 1.5 and 2 target latencies
	for i, want := range []Reason{Chosen, Overloaded} {
		r := newRequest("7")
		r.Route, r.Customer = &table.Routes[0], &table.Customers[i]
		_, reason := Choose(v, r, now)
		g.Expect(reason).To(Equal(want), string(r.Customer.Name))
	}
}

// Guards against a time to return that names a pause of servers which the customer may not use.
func TestRetryAfterHeedsTheCustomersRegions(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north", "south")
	v.Services["search"].Servers[1].Gauge.Pause.Extend(now, 5*time.Second)
	r := newRequest("7")
	r.Customer = &routing.Customer{Regions: []state.RegionName{"south"}}
	server, reason := Choose(v, r, now)
	g.Expect(server).To(BeNil())
	g.Expect(reason).To(Equal(Paused))
	g.Expect(RetryAfter(v, r, now)).To(BeNumerically(">=", 5*time.Second))
	r.Customer = nil
	g.Expect(RetryAfter(v, r, now)).To(BeZero())
}
