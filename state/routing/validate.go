package routing

import (
	"strings"

	"github.com/pkg/errors"

	"azurebridge/state"
)

// MaxRoutes is the max number of routes in a table.
const MaxRoutes = 100_000

// Validate returns an error that describes the first fault found and names its route.
func (t *Table) Validate() error {
	if t.Version == 0 {
		return errors.New("routing table has no version")
	}
	if len(t.Routes) > MaxRoutes {
		return errors.Errorf("routing table has %d routes, limit is %d", len(t.Routes), MaxRoutes)
	}
	for i := range t.Routes {
		if err := t.validateRoute(&t.Routes[i]); err != nil {
			return errors.Wrapf(err, "route %s", t.Routes[i].Name)
		}
	}
	return t.validateCustomers()
}

// validateCustomers checks the customers and that no two share a key.
func (t *Table) validateCustomers() error {
	owner := make(map[KeyDigest]state.CustomerName)
	for _, c := range t.Customers {
		if c.Name == "" {
			return errors.New("customer has no name")
		}
		if !(c.Quota.Rate >= 0) || !(c.Quota.Burst >= 0) {
			return errors.Errorf("customer %s: has a negative quota", c.Name)
		}
		for _, key := range c.Keys {
			if other, taken := owner[key]; taken && other != c.Name {
				return errors.Errorf("customer %s: shares a key with customer %s", c.Name, other)
			}
			owner[key] = c.Name
		}
	}
	return nil
}

func (t *Table) validateRoute(r *Route) error {
	if r.Host == "" {
		return errors.New("has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.MaxAttempts < 1 {
		return errors.New("allows no attempt")
	}
	if r.Timeout <= 0 {
		return errors.New("has no timeout")
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := t.Services[p.Service]; !ok {
			return errors.Errorf("names the unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			return errors.Errorf("service %q has weight %d", p.Service, p.Weight)
		}
		total += p.Weight
	}
	if total == 0 {
		return errors.New("has no service with a weight")
	}
	return nil
}
