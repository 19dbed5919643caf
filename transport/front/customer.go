package front

import (
	"net/http"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// identify finds the request's customer by its key in the view's routing table. Where the table has customers, a request without a
// known key is answered 401 unless its route allows anonymous ones; then identify returns false.
func (q *request) identify() bool {
	first := q.identified == nil
	if !q.admit(q.view.Table) {
		q.rejectKey()
		return false
	}
	if first && q.guarded && q.customer == nil {
		q.m.Stats.Anonymous.Add(1)
	}
	return true
}

// admit sets the customer by a table, and reports whether the request may be sent under it.
func (q *request) admit(t *routing.Table) bool {
	q.customer, q.identified = nil, t
	if len(t.Customers) == 0 {
		return true
	}
	q.guarded = true
	q.customer = q.customerIn(t)
	return q.customer != nil || q.route.AllowAnonymous
}

// customerIn returns the customer that has the request's key in a table, or nil.
func (q *request) customerIn(t *routing.Table) *routing.Customer {
	if !q.caller.HasKey {
		return nil
	}
	return t.CustomerOf(q.caller.Key)
}

// customerName returns the name of the request's customer; empty without one.
func (q *request) customerName() state.CustomerName {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// readmit looks the customer up again before each try when a new table has come into force, and reports whether the request may
// still be sent.
func (q *request) readmit() bool {
	newest := q.m.opts.Loop.View().Table
	if newest == q.identified || q.admit(newest) {
		return true
	}
	q.keyWithdrawn, q.lastOutcome = true, "key withdrawn"
	return false
}

// customerChanged reports whether a table, newer than the one by which the server was chosen and the headers were written, has
// changed what they depend on: the request's customer, or whether it may use the server's region. The request must not be sent then.
func (q *request) customerChanged(newest *routing.Table, server *catalog.Server) bool {
	if newest == q.identified {
		return false
	}
	var name state.CustomerName
	c := q.customerIn(newest)
	if c != nil {
		name = c.Name
	}
	if name == q.customerName() && (len(newest.Customers) == 0 || q.guarded) && (c == nil || c.ServedIn(server.Region)) {
		return false
	}
	q.m.Stats.Withdrawn.Add(1)
	q.log("request withdrawn: its customer has changed", "server", string(server.Name), "newest_table", uint64(newest.Version))
	return true
}

// rejectKey answers 401.
func (q *request) rejectKey() {
	q.m.Stats.NoKey.Add(1)
	q.m.opts.Dialect.Challenge(q.w.Header())
	why := "no key"
	if q.caller.HasKey {
		why = "unknown key"
	}
	q.respond(http.StatusUnauthorized, why, 0)
}
