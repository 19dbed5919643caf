package front

import (
	"net/http"
	"time"

	"azurebridge/coordination/quota"
)

const (
	// quotaWaitPart is the part of the target latency that a request waits for a permit at most, and maxQuotaWait bounds it for
	// routes with a long one. Three owners in distant regions answer within that time.
	quotaWaitPart = 0.25
	maxQuotaWait  = 400 * time.Millisecond
	// noTargetWait is the bound on routes without a target latency.
	noTargetWait = 250 * time.Millisecond
)

// limited reports whether the request's customer has a quota.
func (q *request) limited() bool {
	return q.customer != nil && q.m.opts.Admit != nil && q.view.Customers.Binds(q.customer.Quota)
}

// admitQuota takes a permit for the request when its customer has a quota. When there is none it answers 429 and returns false.
func (q *request) admitQuota() bool {
	if !q.limited() {
		return true
	}
	d := q.takePermit()
	if !d.Admitted && q.callerLeft() {
		q.m.Stats.Left.Add(1)
		q.log("caller left")
		panic(http.ErrAbortHandler)
	}
	if !d.Admitted {
		q.m.Stats.OverQuota.Add(1)
		q.respond(http.StatusTooManyRequests, "quota of the customer is used up", max(d.RetryAfter, refusedRetryAfter))
	}
	return d.Admitted
}

// admitAgain takes a further permit where the request is about to be sent to another server and counts again: a server has run it or
// may have, or the permit is too old to arrive in time.
func (q *request) admitAgain() bool {
	if !q.limited() {
		return true
	}
	if q.sent >= q.route.MaxAttempts {
		return true // nextServer ends the request
	}
	if !q.ran && !q.permitLate() {
		return true
	}
	if !q.takePermit().Admitted {
		q.m.Stats.NoPermit.Add(1)
		q.lastOutcome = "quota of the customer is used up"
		return false
	}
	return true
}

// permitLate reports whether the request has a permit with which it must not be sent any more: what owners issue is sized so that
// requests arrive within quota.MaxTransit.
func (q *request) permitLate() bool {
	return q.limited() && q.m.opts.Loop.Now().Sub(q.admitted) >= quota.MaxTransit
}

func (q *request) takePermit() quota.Decision {
	bound := noTargetWait
	if target := q.route.TargetLatency; target > 0 {
		bound = min(maxQuotaWait, time.Duration(float64(target)*quotaWaitPart))
	}
	d := q.m.opts.Admit(q.r.Context(), q.customer, min(bound, q.timeLeft()))
	q.admitted, q.permitUntil = q.m.opts.Loop.Now(), d.Until
	return d
}

// returnPermit gives back the permit of a request that has not run.
func (q *request) returnPermit() {
	if q.permitUntil != 0 && q.m.opts.ReturnPermit != nil {
		q.m.opts.ReturnPermit(q.customer, q.permitUntil)
		q.permitUntil = 0
	}
}
