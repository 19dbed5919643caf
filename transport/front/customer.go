package front

import (
	"net/http"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// unprovedRetryAfter is the Retry-After of requests that are refused because the knowledge of the keys may be too old: until the
// instance is in contact again, callers should use another one.
const unprovedRetryAfter = time.Second

// admission is whether a request may be sent to a server.
type admission int

const (
	admitted    admission = iota
	keyUnknown            // it has no known key, and its route requires one
	keyOutdated           // its key may have been removed, because this instance's knowledge is too old
)

// identify finds the request's customer by its key in the view's routing table. Where the table has customers, a request without a
// known key is answered 401 unless its route allows anonymous ones; then identify returns false.
func (q *request) identify() bool {
	first := q.identified == nil
	if q.admission = q.admit(q.view); q.admission != admitted {
		q.reject()
		return false
	}
	if first && q.guarded && q.customer == nil {
		q.m.Stats.Anonymous.Add(1)
	}
	return true
}

// admit sets the customer by a view, and returns whether the request may be sent under it.
func (q *request) admit(v *catalog.View) admission {
	q.customer, q.identified = nil, v.Table
	if len(v.Table.Customers) == 0 {
		return admitted
	}
	q.guarded = true
	q.customer = q.customerIn(v.Table)
	switch {
	case q.outdated(v):
		return keyOutdated
	case q.customer == nil && !q.route.AllowAnonymous:
		return keyUnknown
	}
	return admitted
}

// customerIn returns the customer that has the request's key in a table, or nil.
func (q *request) customerIn(t *routing.Table) *routing.Customer {
	if !q.caller.HasKey {
		return nil
	}
	return t.CustomerOf(q.caller.Key)
}

// outdated reports whether the request has a key and the view is too old to tell whose it is.
func (q *request) outdated(v *catalog.View) bool {
	bound := time.Duration(q.m.maxKeyAge.Load())
	return q.caller.HasKey && bound > 0 && len(v.Table.Customers) > 0 && v.Age(q.m.opts.Loop.Now()) > bound
}

// customerName returns the name of the request's customer; empty without one.
func (q *request) customerName() state.CustomerName {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// readmit looks the customer up again before each try, and reports whether the request may still be sent.
func (q *request) readmit() bool {
	v := q.m.opts.Loop.View()
	if v.Table == q.identified && !q.outdated(v) {
		return true
	}
	if q.admission = q.admit(v); q.admission == admitted {
		return true
	}
	q.lastOutcome = "key no longer valid"
	return false
}

// customerChanged reports whether a view, newer than the one by which the server was chosen and the headers were written, has
// changed what they depend on: the request's customer, whether it may use the server's region, or whether its key can be trusted.
// The request must not be sent then.
func (q *request) customerChanged(newest *catalog.View, server *catalog.Server) bool {
	if q.outdated(newest) {
		return true
	}
	if newest.Table == q.identified {
		return false
	}
	var name state.CustomerName
	c := q.customerIn(newest.Table)
	if c != nil {
		name = c.Name
	}
	return name != q.customerName() || len(newest.Table.Customers) > 0 && !q.guarded || c != nil && !c.ServedIn(server.Region)
}

// withdrawForCustomer is customerChanged, and counts and logs it.
func (q *request) withdrawForCustomer(newest *catalog.View, server *catalog.Server) bool {
	if !q.customerChanged(newest, server) {
		return false
	}
	q.m.Stats.Withdrawn.Add(1)
	q.log("request withdrawn: its customer or key has changed", "server", string(server.Name), "newest_table", uint64(newest.Table.Version))
	return true
}

// reject answers a request that may not be sent: 401 without a known key, 503 when that cannot be told.
func (q *request) reject() {
	if q.admission == keyOutdated {
		q.m.Stats.Unproved.Add(1)
		q.refuse("keys cannot be verified", unprovedRetryAfter)
		return
	}
	q.m.Stats.NoKey.Add(1)
	q.m.opts.Dialect.Challenge(q.w.Header())
	why := "no key"
	if q.caller.HasKey {
		why = "unknown key"
	}
	q.respond(http.StatusUnauthorized, why, 0)
}
