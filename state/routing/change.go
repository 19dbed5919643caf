package routing

import (
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"azurebridge/state"
)

// TableChange is the difference between two versions of a table, so that a small change of a large table takes little space.
type TableChange struct {
	From     Version
	Version  Version
	Routes   []Route  // new or changed
	Removed  []string // names of routes
	Services map[state.ServiceName]Service
	Limits   Limits
	// Customers are all customers of the new version.
	Customers []Customer
}

// Diff returns the change from one table to another.
func Diff(from, to *Table) *TableChange {
	c := &TableChange{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits, Customers: to.Customers}
	old := byName(from.Routes)
	for _, r := range to.Routes {
		if before, ok := old[r.Name]; !ok || !sameRoute(before, r) {
			c.Routes = append(c.Routes, r)
		}
		delete(old, r.Name)
	}
	c.Removed = slices.Sorted(maps.Keys(old))
	return c
}

// Apply returns the table after the change. It returns an error when t is nil or not of version From, or when the result is
// invalid.
func (c *TableChange) Apply(t *Table) (*Table, error) {
	if t == nil || t.Version != c.From {
		return nil, errors.Errorf("change applies to version %d of the routing table, not to the current table", c.From)
	}
	routes := byName(t.Routes)
	for _, name := range c.Removed {
		delete(routes, name)
	}
	for _, r := range c.Routes {
		routes[r.Name] = r
	}
	out := &Table{Version: c.Version, Services: c.Services, Limits: c.Limits, Customers: c.Customers, Routes: slices.Collect(maps.Values(routes))}
	if err := out.Validate(); err != nil {
		return nil, err
	}
	out.Index()
	return out, nil
}

func byName(routes []Route) map[string]Route {
	out := make(map[string]Route, len(routes))
	for _, r := range routes {
		out[r.Name] = r
	}
	return out
}

// sameRoute compares two routes without the fields that Index derives.
func sameRoute(a, b Route) bool {
	a.ahead, b.ahead = 0, 0
	return reflect.DeepEqual(a, b)
}
