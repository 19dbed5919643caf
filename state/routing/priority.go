package routing

import "azurebridge/state"

// PriorityFor returns the priority of the route's requests from a customer; of those without one when c is nil.
func (r *Route) PriorityFor(c *Customer) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return r.Priority
}

// Yields reports whether more urgent requests than those of a customer (nil: without one) use one of the route's services, so
// that the customer's are refused first when capacity is short.
func (r *Route) Yields(c *Customer) bool { return r.PriorityFor(c) > r.Priority-r.ahead }

// indexPriorities sets each route's ahead.
func (t *Table) indexPriorities() {
	customers := t.urgencyOfCustomers()
	mostUrgent := make(map[state.ServiceName]int)
	for i := range t.Routes {
		priority := customers.on(&t.Routes[i])
		for _, p := range t.Routes[i].Parts {
			if best, ok := mostUrgent[p.Service]; !ok || priority < best {
				mostUrgent[p.Service] = priority
			}
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		for i, p := range r.Parts {
			if ahead := r.Priority - mostUrgent[p.Service]; i == 0 || ahead > r.ahead {
				r.ahead = ahead
			}
		}
	}
}

// customerUrgency sums up the priorities with which customers send.
type customerUrgency struct {
	own     bool // some customer has a priority of its own
	highest int  // the most urgent of those
	routes  bool // some request has the priority of its route, whichever route it is
}

// urgencyOfCustomers sums up the customers that have a key; others cannot send.
func (t *Table) urgencyOfCustomers() customerUrgency {
	out := customerUrgency{routes: len(t.Customers) == 0}
	for i := range t.Customers {
		c := &t.Customers[i]
		switch {
		case len(c.Keys) == 0:
		case !c.HasPriority:
			out.routes = true
		case !out.own || c.Priority < out.highest:
			out.own, out.highest = true, c.Priority
		}
	}
	return out
}

// on returns the priority of the most urgent requests that a route can have.
func (u customerUrgency) on(r *Route) int {
	switch {
	case !u.own:
		return r.Priority
	case u.routes || r.AllowAnonymous:
		return min(u.highest, r.Priority)
	}
	return u.highest
}
