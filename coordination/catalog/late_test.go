package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// heartbeat returns the entry of server 0 as one of its heartbeats wrote it.
func heartbeat(born, seq int64, draining bool) Item {
	it := server(0)
	b := *it.Fact.(*routing.Backend)
	b.Born, b.Beat, b.Draining = born, seq, draining
	it.Fact = &b
	return it
}

// Guards against requests to a server that has announced its departure, when the store write of an earlier heartbeat is delayed.
func TestLateHeartbeatDoesNotRevertADeparture(t *testing.T) {
	deleted := Item{Key: server(0).Key}
	for name, c := range map[string]struct {
		changes []Item
		inView  bool
	}{
		"outdated after draining":        {[]Item{heartbeat(1, 4, false), heartbeat(1, 6, true), heartbeat(1, 5, false)}, false},
		"outdated after it has left":     {[]Item{heartbeat(1, 4, false), heartbeat(1, 6, true), deleted, heartbeat(1, 5, false)}, false},
		"in order":                       {[]Item{heartbeat(1, 4, false), heartbeat(1, 5, false)}, true},
		"back after its lease expired":   {[]Item{heartbeat(1, 4, false), deleted, heartbeat(1, 9, false)}, true},
		"restart resets the numbers":     {[]Item{heartbeat(1, 6, true), heartbeat(2, 1, false)}, true},
		"start time is not announced":    {[]Item{heartbeat(0, 6, true), heartbeat(0, 1, false)}, true},
		"restart after it has left":      {[]Item{heartbeat(1, 6, true), deleted, heartbeat(2, 1, false)}, true},
		"draining in the last heartbeat": {[]Item{heartbeat(1, 5, false), heartbeat(1, 6, true)}, false},
	} {
		core := newTestCore()
		for _, it := range c.changes {
			core.Step(testStart, Changed{Items: []Item{it}})
		}
		inView := len(names(core.View())) > 0
		NewWithT(t).Expect(inView).To(Equal(c.inView), name)
	}
}

// Guards against memory use that grows with each server that leaves.
func TestDepartureRecordsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Changed{Items: []Item{heartbeat(1, 4, false)}})
	c.Step(testStart, Changed{Items: []Item{{Key: server(0).Key}}})
	g.Expect(c.departed).To(HaveLen(1))
	c.Step(testStart.Add(departureRetention+time.Second), Changed{Items: []Item{server(1)}})
	c.Step(testStart.Add(departureRetention+time.Second), Changed{Items: []Item{{Key: server(1).Key}}})
	g.Expect(c.departed).To(HaveLen(1))
}
