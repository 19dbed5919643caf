package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

func newTable() *Table {
	t := &Table{
		Version: 1, Services: map[state.ServiceName]Service{"a": {}, "b": {}},
		Routes: []Route{
			{Name: "short", Host: "x.example", Prefix: "/p/", Timeout: time.Second, MaxAttempts: 1, Parts: []Part{{"a", 1}}},
			{Name: "long", Host: "x.example", Prefix: "/p/q/", Timeout: time.Second, MaxAttempts: 1, Parts: []Part{{"a", 90}, {"b", 10}}},
			{Name: "other", Host: "y.example", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Parts: []Part{{"b", 1}}},
		},
	}
	t.Index()
	return t
}

// Guards against a request that matches the route of another host or of a shorter prefix.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table := newTable()
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/p/1", "short"}, {"x.example", "/p/q/1", "long"}, {"x.example", "/p/q", "short"},
		{"X.EXAMPLE", "/p/", "short"}, {"y.example", "/p/q/", "other"}, {"x.example", "/p", ""}, {"x.example", "/", ""},
		{"z.example", "/p/", ""}, {"", "", ""},
	} {
		name := ""
		if r := table.Match(c.host, c.path); r != nil {
			name = r.Name
		}
		NewWithT(t).Expect(name).To(Equal(c.want), "%s %s", c.host, c.path)
	}
}

// Guards against a traffic split that does not follow its weights.
func TestPartsAreDrawnByWeight(t *testing.T) {
	g := NewWithT(t)
	r := newTable().Match("x.example", "/p/q/")
	count := make(map[state.ServiceName]int)
	const draws = 1000
	for i := range draws {
		count[r.Part(float64(i)/draws)]++
	}
	g.Expect(count).To(Equal(map[state.ServiceName]int{"a": 900, "b": 100}))
	r.Parts = []Part{{"a", 0}, {"b", 5}}
	for i := range draws {
		g.Expect(r.Part(float64(i)/draws)).To(Equal(state.ServiceName("b")), "a part without weight gets nothing")
	}
}

// Guards against invalid routes in a table in force.
func TestValidateNamesTheRoute(t *testing.T) {
	for want, change := range map[string]func(*Table){
		"no version":          func(t *Table) { t.Version = 0 },
		"no host":             func(t *Table) { t.Routes[0].Host = "" },
		"does not begin":      func(t *Table) { t.Routes[0].Prefix = "/p" },
		"allows no attempt":   func(t *Table) { t.Routes[0].MaxAttempts = 0 },
		"has no timeout":      func(t *Table) { t.Routes[0].Timeout = 0 },
		"unknown service":     func(t *Table) { t.Routes[0].Parts[0].Service = "c" },
		"has weight -1":       func(t *Table) { t.Routes[0].Parts[0].Weight = -1 },
		"no service with a w": func(t *Table) { t.Routes[0].Parts[0].Weight = 0 },
	} {
		table := newTable()
		change(table)
		NewWithT(t).Expect(table.Validate()).To(MatchError(ContainSubstring(want)))
	}
	NewWithT(t).Expect(newTable().Validate()).To(Succeed())
}

// Guards against routes that yield although they share no service with a more urgent one, and against routes that do not yield
// although they do.
func TestRouteYieldsToAMoreUrgentOneOfItsService(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "urgent", Priority: 0, Parts: []Part{{"a", 1}}},
		{Name: "equal", Priority: 0, Parts: []Part{{"a", 1}}},
		{Name: "less", Priority: 1, Parts: []Part{{"b", 1}, {"a", 1}}},
		{Name: "alone", Priority: 2, Parts: []Part{{"c", 1}}},
	}}
	table.Index()
	for i, want := range []bool{false, false, true, false} {
		NewWithT(t).Expect(table.Routes[i].Yields(nil)).To(Equal(want), table.Routes[i].Name)
	}
}

// Guards against requests that are ordered by their route's priority although their customer has one of its own, and against
// requests that yield to customers that cannot send.
func TestPriorityOfACustomerReplacesThatOfItsRoute(t *testing.T) {
	key := []KeyDigest{Digest("k")}
	urgent := &Customer{Name: "urgent", Keys: key, HasPriority: true, Priority: 0}
	late := &Customer{Name: "late", Keys: key, HasPriority: true, Priority: 3}
	plain := &Customer{Name: "plain", Keys: key}
	keyless := &Customer{Name: "keyless", HasPriority: true, Priority: 0}
	for name, c := range map[string]struct {
		customers []*Customer
		open      bool // whether the first route allows requests without a key
		yields    map[*Customer][2]bool
	}{
		"all have their own":        {[]*Customer{urgent, late}, false, map[*Customer][2]bool{urgent: {false, false}, late: {true, true}}},
		"one has the route's":       {[]*Customer{plain, late}, false, map[*Customer][2]bool{plain: {false, true}, late: {true, true}}},
		"one alone":                 {[]*Customer{late}, false, map[*Customer][2]bool{late: {false, false}}},
		"anonymous requests":        {[]*Customer{late}, true, map[*Customer][2]bool{late: {true, true}, nil: {false, true}}},
		"without a key":             {[]*Customer{late, keyless}, false, map[*Customer][2]bool{late: {false, false}}},
		"none":                      {nil, false, map[*Customer][2]bool{nil: {false, true}}},
		"only one without a key":    {[]*Customer{keyless}, true, map[*Customer][2]bool{nil: {false, true}}},
		"route's and a less urgent": {[]*Customer{plain, late}, true, map[*Customer][2]bool{nil: {false, true}}},
	} {
		table := &Table{Routes: []Route{
			{Name: "first", Priority: 1, AllowAnonymous: c.open, Parts: []Part{{"a", 1}}},
			{Name: "second", Priority: 2, Parts: []Part{{"a", 1}}},
		}}
		for _, customer := range c.customers {
			table.Customers = append(table.Customers, *customer)
		}
		table.Index()
		for customer, want := range c.yields {
			for i, yields := range want {
				NewWithT(t).Expect(table.Routes[i].Yields(customer)).To(Equal(yields), "%s: %v on route %s", name, customer, table.Routes[i].Name)
			}
		}
	}
}
