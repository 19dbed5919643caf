package state_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/state"
)

func validConfig() *state.Config {
	return &state.Config{
		Regions:   []state.Region{{Name: "r1", Domains: []state.DomainName{"d1", "d2"}, MaxRunning: 8}, {Name: "r2", Domains: []state.DomainName{"d3"}}},
		Links:     []state.Link{{From: "r1", To: "r2", BytesPerSecond: 1000}},
		Services:  []state.Service{{Name: "s", Kind: state.KindLookup}},
		Backends:  []state.BackendServer{{Name: "b", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), Region: "r1", Domain: "d1", Slots: 4, MaxConnections: 10}},
		Plans:     []state.Plan{{Name: "p", Regions: []state.RegionName{"r1", "r2"}, Services: []state.PlanService{{Service: "s", SharePercent: 50, BurstPercent: 60}}}},
		Customers: []state.Customer{{Name: "c1", Plan: "p"}, {Name: "c2", Plan: "p"}},
		Drains:    []state.Drain{{Kind: state.DrainDomain, Name: "d3"}},
		Shifts:    []state.Shift{{Name: "h", From: "r1", To: "r2", MaxRunning: 5}},
	}
}

// Guards against accepting a faulty configuration, and against a fault that does not name the entry and the field.
func TestValidateReportsFault(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*state.Config)
		want   state.Fault // Reason is not compared
	}{
		"duplicate region": {func(c *state.Config) {
			c.Regions = append(c.Regions, state.Region{Name: "r1", Domains: []state.DomainName{"x"}})
		}, state.Fault{Kind: "region", Name: "r1"}},
		"domain in two regions":      {func(c *state.Config) { c.Regions[1].Domains = []state.DomainName{"d3", "d1"} }, state.Fault{Kind: "region", Name: "r2", Field: "Domains", Item: "d1"}},
		"limit far above slots":      {func(c *state.Config) { c.Regions[0].MaxRunning = 41 }, state.Fault{Kind: "region", Name: "r1", Field: "MaxRunning"}},
		"link to unknown region":     {func(c *state.Config) { c.Links[0].To = "x" }, state.Fault{Kind: "link", Name: "r1 x", Item: "x"}},
		"duplicate link":             {func(c *state.Config) { c.Links = append(c.Links, c.Links[0]) }, state.Fault{Kind: "link", Name: "r1 r2"}},
		"unknown kind of service":    {func(c *state.Config) { c.Services[0].Kind = "x" }, state.Fault{Kind: "service", Name: "s", Field: "Kind"}},
		"unknown service":            {func(c *state.Config) { c.Backends[0].Service = "x" }, state.Fault{Kind: "backend", Name: "b", Field: "Service", Item: "x"}},
		"unknown domain":             {func(c *state.Config) { c.Backends[0].Domain = "x" }, state.Fault{Kind: "backend", Name: "b", Field: "Domain"}},
		"domain of other region":     {func(c *state.Config) { c.Backends[0].Domain = "d3" }, state.Fault{Kind: "backend", Name: "b", Field: "Domain"}},
		"no address":                 {func(c *state.Config) { c.Backends[0].Address = netip.AddrPort{} }, state.Fault{Kind: "backend", Name: "b", Field: "Address"}},
		"no slots":                   {func(c *state.Config) { c.Backends[0].Slots = 0 }, state.Fault{Kind: "backend", Name: "b", Field: "Slots"}},
		"unknown region of a plan":   {func(c *state.Config) { c.Plans[0].Regions[0] = "x" }, state.Fault{Kind: "plan", Name: "p", Field: "Regions", Item: "x"}},
		"unknown service of a plan":  {func(c *state.Config) { c.Plans[0].Services[0].Service = "x" }, state.Fault{Kind: "plan", Name: "p", Field: "Services", Item: "x"}},
		"burst below share":          {func(c *state.Config) { c.Plans[0].Services[0].BurstPercent = 49 }, state.Fault{Kind: "plan", Name: "p", Field: "BurstPercent", Item: "s"}},
		"shares over 100%":           {func(c *state.Config) { c.Customers = append(c.Customers, state.Customer{Name: "c3", Plan: "p"}) }, state.Fault{Kind: "plan", Name: "p", Field: "SharePercent", Item: "s"}},
		"unknown plan of a customer": {func(c *state.Config) { c.Customers[0].Plan = "x" }, state.Fault{Kind: "customer", Name: "c1", Field: "Plan"}},
		"duplicate customer":         {func(c *state.Config) { c.Customers[1].Name = "c1" }, state.Fault{Kind: "customer", Name: "c1"}},
		"space in a name":            {func(c *state.Config) { c.Customers[0].Name = "a b" }, state.Fault{Kind: "customer", Name: "a b"}},
		"drain of unknown domain":    {func(c *state.Config) { c.Drains[0].Name = "x" }, state.Fault{Kind: "drain", Name: "domain x"}},
		"shift to unknown region":    {func(c *state.Config) { c.Shifts[0].To = "x" }, state.Fault{Kind: "shift", Name: "h", Field: "To", Item: "x"}},
		"shift to itself":            {func(c *state.Config) { c.Shifts[0].To = "r1" }, state.Fault{Kind: "shift", Name: "h", Field: "To"}},
		"too many drains":            {func(c *state.Config) { c.Drains = make([]state.Drain, state.MaxDrains+1) }, state.Fault{Kind: "drain"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cfg := validConfig()
			g.Expect(cfg.Validate()).To(Succeed())
			c.change(cfg)
			var faults state.Faults
			g.Expect(errors.As(cfg.Validate(), &faults)).To(BeTrue())
			places := make([]state.Fault, len(faults))
			for i, f := range faults {
				g.Expect(f.Reason).NotTo(BeEmpty())
				places[i], places[i].Reason = f, ""
			}
			g.Expect(places).To(ContainElement(c.want))
		})
	}
}

// Guards against a diff that misses an entry or a field, or that reports the order of entries as a change.
func TestDiffListsChangedEntries(t *testing.T) {
	g := NewWithT(t)
	a, b := validConfig(), validConfig()
	b.Customers[0], b.Customers[1] = b.Customers[1], b.Customers[0]
	g.Expect(state.Diff(a, b)).To(BeEmpty())
	b.Backends[0].Slots = 5
	b.Drains = nil
	b.Shifts = append(b.Shifts, state.Shift{Name: "g"})
	g.Expect(state.Diff(a, b)).To(Equal([]state.Change{
		{Section: "backend", Name: "b", Change: state.ChangeChanged, Fields: []state.FieldChange{{Field: "Slots", From: "4", To: "5"}}},
		{Section: "drain", Name: "domain d3", Change: state.ChangeRemoved},
		{Section: "shift", Name: "g", Change: state.ChangeAdded},
	}))
}
