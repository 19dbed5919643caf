package catalog

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// Guards against routes of an unknown type that go unnoticed, and against a log line for each request or event instead of one for
// the table.
func TestUnknownRouteTypesAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore()
	table := &routing.Table{Version: 3, Routes: []routing.Route{{Name: "a", UnknownType: true}, {Name: "b"}, {Name: "c", UnknownType: true}}}
	table.Index()
	g.Expect(table.UnknownTypes()).To(Equal(2))
	lines := 0
	for range 3 {
		c.Step(testStart, Listed{Items: []Item{{Key: "table", Fact: table}}})
		for _, entry := range c.TakeLogEntries() {
			if entry.Message == "routes of an unknown type; their requests run at most once" {
				lines++
				g.Expect(entry.Fields).To(Equal([]any{"version", uint64(3), "routes", 2}))
			}
		}
	}
	g.Expect(lines).To(Equal(1))
}
