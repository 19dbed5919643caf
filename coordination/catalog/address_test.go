package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// at returns the entry of a process of server n at an address.
func at(n int, born int64, address string) Item {
	it := server(n)
	b := *it.Fact.(*routing.Backend)
	b.Born, b.Address = born, address
	return Item{Key: it.Key, Fact: &b}
}

// Guards against requests to a server that has ended while another one has its address: each would be answered that it is not
// the one, until the lease of the ended server expires.
func TestServerWhoseAddressIsReusedIsRemoved(t *testing.T) {
	const address = "10.0.0.9:80"
	listed := func(c *Core, items ...Item) { c.Step(testStart, Listed{Revision: next(c.revision), Items: items}) }
	changed := func(c *Core, items ...Item) {
		c.Step(testStart.Add(time.Second), Changed{After: c.revision, Revision: next(c.revision), Items: items})
	}
	for name, c := range map[string]struct {
		play func(c *Core)
		want []string
	}{
		"successor registers":            {func(c *Core) { listed(c, at(0, 5, address)); changed(c, at(1, 9, address)) }, []string{"s-01"}},
		"both are listed":                {func(c *Core) { listed(c, at(0, 5, address), at(1, 9, address)) }, []string{"s-01"}},
		"both are listed, the other way": {func(c *Core) { listed(c, at(1, 9, address), at(0, 5, address)) }, []string{"s-01"}},
		"old entry is written again": {func(c *Core) {
			listed(c, at(0, 5, address))
			changed(c, at(1, 9, address))
			changed(c, at(0, 5, address))
		}, []string{"s-01"}},
		"successor leaves": {func(c *Core) {
			listed(c, at(0, 5, address), at(1, 9, address))
			changed(c, Item{Key: server(1).Key})
		}, nil},
		"start of both is not announced": {func(c *Core) { listed(c, at(0, 0, address), at(1, 0, address)) }, []string{"s-00", "s-01"}},
		"server moves, another takes its address": {func(c *Core) {
			listed(c, at(0, 5, address))
			changed(c, at(0, 6, "10.0.0.8:80"))
			changed(c, at(1, 3, address))
		}, []string{"s-00", "s-01"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core := newTestCore()
			c.play(core)
			core.dirty = true
			g.Expect(names(core.View())).To(Equal(c.want))
			for key, owner := range core.byAddress {
				g.Expect(core.servers).To(HaveKey(owner), key)
			}
			g.Expect(core.View()).To(BeNil())
		})
	}
}
