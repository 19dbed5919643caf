package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// heartbeat returns the entry of server 0 as one of its heartbeats wrote it.
func heartbeat(born, beat int64, draining bool) Item {
	it := server(0)
	b := *it.Fact.(*routing.Backend)
	b.Born, b.Beat, b.Draining = born, beat, draining
	it.Fact = &b
	return it
}

// Guards against requests to a server that has said it is leaving, when an earlier heartbeat is written to the store late.
func TestLateHeartbeatDoesNotTakeADepartureBack(t *testing.T) {
	gone := Item{Key: server(0).Key}
	for name, c := range map[string]struct {
		changes []Item
		offered bool
	}{
		"late after draining":            {[]Item{heartbeat(1, 4, false), heartbeat(1, 6, true), heartbeat(1, 5, false)}, false},
		"late after it has gone":         {[]Item{heartbeat(1, 4, false), heartbeat(1, 6, true), gone, heartbeat(1, 5, false)}, false},
		"in order":                       {[]Item{heartbeat(1, 4, false), heartbeat(1, 5, false)}, true},
		"back after its lease lapsed":    {[]Item{heartbeat(1, 4, false), gone, heartbeat(1, 9, false)}, true},
		"a new start counts anew":        {[]Item{heartbeat(1, 6, true), heartbeat(2, 1, false)}, true},
		"a start that is not announced":  {[]Item{heartbeat(0, 6, true), heartbeat(0, 1, false)}, true},
		"a new start after it has gone":  {[]Item{heartbeat(1, 6, true), gone, heartbeat(2, 1, false)}, true},
		"the departure is told only now": {[]Item{heartbeat(1, 5, false), heartbeat(1, 6, true)}, false},
	} {
		core := newTestCore()
		for _, it := range c.changes {
			core.Step(testStart, Changed{Items: []Item{it}})
		}
		offered := len(names(core.View())) > 0
		NewWithT(t).Expect(offered).To(Equal(c.offered), name)
	}
}

// Guards against memory that grows with each server that leaves.
func TestDeparturesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	c.Step(testStart, Changed{Items: []Item{heartbeat(1, 4, false)}})
	c.Step(testStart, Changed{Items: []Item{{Key: server(0).Key}}})
	g.Expect(c.departed).To(HaveLen(1))
	c.Step(testStart.Add(departureMemory+time.Second), Changed{Items: []Item{server(1)}})
	c.Step(testStart.Add(departureMemory+time.Second), Changed{Items: []Item{{Key: server(1).Key}}})
	g.Expect(c.departed).To(HaveLen(1))
}
