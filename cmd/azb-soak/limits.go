package main

import (
	"fmt"
	"slices"
	"time"
)

// Bound on the requests to a server that names a limit, from the instances that have passed it on limitReaction before.
const (
	limitSpan     = 4 * time.Second
	limitFactor   = 1.5
	limitExtra    = 5
	limitReaction = 500 * time.Millisecond
)

// namedLimit is a period in which a server names a limit.
type namedLimit struct {
	Server    string
	PerSecond float64
	From      time.Time
	Until     time.Time // zero while it lasts
}

// checkLimits reports servers that got more in some limitSpan than they allowed, from stabilityWindow after they had first named
// their limit. Requests from an instance that was disturbed since it passed the limit on do not count.
func (tb *testbed) checkLimits(runs map[string][]serverRun) (violations []string) {
	for _, l := range tb.limits {
		arrived := tb.arrivedUnderLimit(l, runs)
		allowed := limitFactor*l.PerSecond*limitSpan.Seconds() + limitExtra
		for n := range arrived {
			end, _ := slices.BinarySearchFunc(arrived, arrived[n].Add(limitSpan), time.Time.Compare)
			if float64(end-n) > allowed && tb.stalls.undisturbed(arrived[n], arrived[end-1], "") {
				violations = append(violations, fmt.Sprintf("%s got %d requests in %s under a limit of %v/s", l.Server, end-n, limitSpan, l.PerSecond))
				break
			}
		}
	}
	return violations
}

// arrivedUnderLimit returns when requests reached the server that count for its limit, in order.
func (tb *testbed) arrivedUnderLimit(l *namedLimit, runs map[string][]serverRun) []time.Time {
	passedOn := make(map[*instance]time.Time)
	for _, c := range tb.callers.calls {
		first, ok := passedOn[c.Instance]
		if c.Limited && c.Signature == "sig-"+l.Server && c.End.After(l.From) && (!ok || c.End.Before(first)) {
			passedOn[c.Instance] = c.End
		}
	}
	var out []time.Time
	for _, c := range tb.callers.calls {
		heard, ok := passedOn[c.Instance]
		for _, r := range runs[c.ID] {
			in := r.server.idAt(r.At) == l.Server && r.At.After(l.From.Add(stabilityWindow)) && (l.Until.IsZero() || r.At.Before(l.Until))
			if ok && in && r.At.Sub(heard) > limitReaction && !c.Instance.disturbances.overlaps(heard, r.At, anyFault) {
				out = append(out, r.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}
