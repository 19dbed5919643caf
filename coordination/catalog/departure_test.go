package catalog

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// process returns the entry of one process of server 0.
func process(born int64, address string) Item {
	it := server(0)
	b := *it.Fact.(*routing.Backend)
	b.Born, b.Address = born, address
	return Item{Key: it.Key, Fact: &b}
}

// Guards against forgetting what a process has said of itself while its entry is missing, and against taking that for true of
// the next process at its address or under its name.
func TestGaugeBelongsToOneProcess(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	gaugeAfter := func(at time.Duration, it Item) *Gauge {
		c.Step(testStart.Add(at), Listed{Items: []Item{it}})
		return c.View().Services["search"].Servers[0].Gauge
	}
	missing := func(at time.Duration) { c.Step(testStart.Add(at), Listed{}) }
	first := gaugeAfter(0, process(1, "10.0.0.1:80"))
	first.SetLeaving()
	missing(time.Second)
	g.Expect(gaugeAfter(2*time.Second, process(1, "10.0.0.1:80"))).To(BeIdenticalTo(first))
	missing(3 * time.Second)
	missing(time.Hour)
	g.Expect(gaugeAfter(time.Hour, process(1, "10.0.0.1:80"))).To(BeIdenticalTo(first), "leaving is final")
	missing(time.Hour + time.Second)
	g.Expect(gaugeAfter(time.Hour+2*time.Second, process(2, "10.0.0.1:80"))).NotTo(BeIdenticalTo(first))
	missing(time.Hour + 3*time.Second)
	g.Expect(gaugeAfter(time.Hour+4*time.Second, process(2, "10.0.0.2:80"))).NotTo(BeIdenticalTo(first))
}

// Guards against a record of departures that grows without bound in a fleet whose servers are replaced all the time.
func TestDeparturesAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	for i := range maxDepartures + 100 {
		name := fmt.Sprintf("servers/s-%d", i)
		b := &trackedServer{Backend: routing.Backend{Born: int64(i)}, gauge: &Gauge{}}
		b.gauge.SetLeaving()
		c.removeServer(testStart.Add(time.Duration(i)*time.Millisecond), name, b)
	}
	g.Expect(c.departed).To(HaveLen(maxDepartures))
	g.Expect(c.departed).To(HaveKey(fmt.Sprintf("servers/s-%d", maxDepartures+99)))
	g.Expect(c.departed).NotTo(HaveKey("servers/s-0"))
}
