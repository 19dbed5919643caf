package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 200, 30) }

// drawTable draws a table with a random subset of six routes, each with a random priority and service.
func drawTable(t *rapid.T, version Version) *Table {
	out := &Table{Version: version, Services: map[state.ServiceName]Service{"a": {}, "b": {ColdRate: 2}}}
	for i := range 6 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		out.Routes = append(out.Routes, Route{
			Name: fmt.Sprint(i), Host: "x.example", Prefix: fmt.Sprintf("/%d/", i), Timeout: time.Second, MaxAttempts: 1,
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Parts: []Part{{rapid.SampledFrom([]state.ServiceName{"a", "b"}).Draw(t, "service"), 1}},
		})
	}
	out.Index()
	return out
}

func sorted(t *Table) []Route {
	return slices.SortedFunc(slices.Values(t.Routes), func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
}

// Guards against a table that differs from the operators' after a change was applied, and against a change that is applied to
// another version than it was made from.
func TestChangeAppliedIsTheNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		from, to := drawTable(t, 3), drawTable(t, 5)
		got, err := Diff(from, to).Apply(from)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Version).To(Equal(Version(5)))
		g.Expect(sorted(got)).To(Equal(sorted(to)))
		g.Expect(got.Services).To(Equal(to.Services))
		for _, r := range to.Routes {
			g.Expect(got.Match(r.Host, r.Prefix)).To(HaveValue(Equal(r)))
		}
		_, err = Diff(from, to).Apply(to)
		g.Expect(err).To(HaveOccurred())
		_, err = Diff(from, to).Apply(nil)
		g.Expect(err).To(HaveOccurred())
	})
}
