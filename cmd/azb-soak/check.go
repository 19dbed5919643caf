package main

import (
	"fmt"
	"net/http"
	"time"

	"azurebridge/platform/standin"
)

// Bounds that the system promises, and tolerances of the checks.
const (
	stabilityWindow = 4 * time.Second // time without disturbance after which promises about times hold
	drainBound      = 2500 * time.Millisecond
	configBound     = 2500 * time.Millisecond
	evacuationBound = 5 * time.Second
	answerSlack     = 500 * time.Millisecond // beyond the route's timeout
	stopGrace       = 6 * time.Second
	routeTimeout    = 2 * time.Second
	// minServedShare is the min share of calls that must be served after the last fault.
	minServedShare = 0.95
	// maxInPause is the max number of requests of one instance to a server that has asked for a pause, from pauseReaction on.
	maxInPause    = 2
	pauseReaction = 500 * time.Millisecond
	// maxRuns is the max number of runs of a request that may run more than once: the route allows two servers, and the
	// caller's HTTP client may send the request a second time.
	maxRuns = 4
)

// departure is a period in which a backend server or a failure domain must not receive requests, once Bound has passed.
type departure struct {
	Server string // empty for a failure domain
	Domain int
	At     time.Time // when the store acknowledged it
	Until  time.Time // end of the period; zero while it lasts
	Bound  time.Duration
}

// serverRun is one run of a request and the server that ran it.
type serverRun struct {
	standin.Run
	server *backend
}

// check compares the answers that callers received with the runs at the servers, and returns one line for each broken
// promise. Without timed, promises about times are not checked.
func (tb *testbed) check(timed bool) []string {
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs := make(map[string][]serverRun)
	for _, b := range tb.servers {
		for _, s := range b.all {
			for _, r := range s.Runs() {
				runs[r.ID] = append(runs[r.ID], serverRun{r, b})
			}
		}
	}
	for _, i := range tb.instances {
		violations = append(violations, i.unexpectedExits...)
	}
	violations = append(violations, tb.violations...)
	for _, c := range tb.callers.calls {
		list := runs[c.ID]
		switch {
		case c.Write && len(list) > 1:
			add("%s ran %d times", c.ID, len(list))
		case len(list) > maxRuns:
			add("%s ran %d times, route allows 2", c.ID, len(list))
		case c.Write && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) && len(list) > 0:
			add("%s was refused with %d and ran", c.ID, c.Status)
		}
		if wrong := c.wrongAnswer(); wrong != "" {
			add("%s at %s: %s", c.ID, c.Instance.name, wrong)
		}
		if c.Err != nil && len(list) > 0 && tb.abortedByPlannedStop(c, list) {
			add("%s at %s was aborted by a planned stop: %v", c.ID, c.Instance.name, c.Err)
		}
		if !timed {
			continue
		}
		if took := c.End.Sub(c.Start); took > routeTimeout+answerSlack && c.Instance.disturbances.undisturbed(c.Start, c.End, "") && tb.undisturbed(c.Start, c.End) {
			add("%s at %s took %v", c.ID, c.Instance.name, took)
		}
		for _, r := range list {
			if d := tb.violatedDeparture(c, r); d != nil {
				add("%s reached %s/%s %v after its departure, from %s", c.ID, d.Server, domains[d.Domain].name, r.At.Sub(d.At), c.Instance.name)
			}
		}
	}
	if timed {
		violations = append(violations, tb.checkRecovery()...)
		violations = append(violations, tb.checkLeaving(runs)...)
		violations = append(violations, tb.checkPauses()...)
		violations = append(violations, tb.checkLimits(runs)...)
	}
	return violations
}

// wrongAnswer describes what is wrong with a success, or with a failure that has a server's signature. It returns an empty
// string for a valid answer.
func (c *call) wrongAnswer() string {
	if c.Err != nil || c.Status == 0 {
		return ""
	}
	if c.Status != http.StatusOK {
		switch {
		case c.Signature == "":
		case c.Status != http.StatusInternalServerError:
			return fmt.Sprintf("status %d with signature %s: servers never send this status", c.Status, c.Signature)
		case c.Body != standin.FailureBody:
			return fmt.Sprintf("failure with body %q and signature %q", c.Body, c.Signature)
		}
		return ""
	}
	var server, id string
	if _, err := fmt.Sscanf(c.Body, "answer of %s to %s", &server, &id); err != nil || id != c.ID || c.Signature != "sig-"+server {
		return fmt.Sprintf("success with body %q and signature %q", c.Body, c.Signature)
	}
	return ""
}

// abortedByPlannedStop reports whether a planned stop of its instance was the only disturbance during a call that has run.
func (tb *testbed) abortedByPlannedStop(c *call, list []serverRun) bool {
	for _, r := range list {
		if !r.server.disturbances.undisturbed(c.Start, c.End, "") {
			return false
		}
	}
	stopped := c.Instance.disturbances.overlaps(c.Start, c.End, func(f fault) bool { return f == stopInstance })
	return stopped && c.Instance.disturbances.undisturbed(c.Start, c.End, stopInstance) && tb.undisturbed(c.Start, c.End)
}

// violatedDeparture returns the departure that should have prevented the run, or nil. Runs during a disturbance are excused.
func (tb *testbed) violatedDeparture(c *call, r serverRun) *departure {
	if !c.Instance.disturbances.undisturbed(r.At, r.At, "") || !tb.undisturbed(r.At, r.At) || !r.server.disturbances.undisturbed(r.At, r.At, "") {
		return nil
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, d := range tb.departures {
		applies := d.Server == "" && d.Domain == r.server.domain || d.Server != "" && d.Server == r.server.idAt(r.At)
		if applies && r.At.After(d.At.Add(d.Bound)) && (d.Until.IsZero() || r.At.Before(d.Until)) {
			return d
		}
	}
	return nil
}

// checkRecovery reports when too few calls are served although the last fault ended at least a stability window earlier.
func (tb *testbed) checkRecovery() []string {
	from := tb.loadEnd.Add(-(recoveryTime - stabilityWindow))
	total, served := 0, 0
	for _, c := range tb.callers.calls {
		if c.Start.After(from) {
			total++
			if c.ok() {
				served++
			}
		}
	}
	if float64(served) < minServedShare*float64(total) && tb.stalls.undisturbed(from, tb.loadEnd, "") {
		return []string{fmt.Sprintf("only %d of %d calls were served after the last fault", served, total)}
	}
	return nil
}

// checkLeaving reports requests that an instance has sent to a server later than drainBound after it had passed on an answer in
// which the server says that it leaves. An instance that was disturbed since then may have forgotten it.
func (tb *testbed) checkLeaving(runs map[string][]serverRun) (violations []string) {
	type pair struct{ instance, signature string }
	said := make(map[pair]time.Time)
	for _, c := range tb.callers.calls {
		p := pair{c.Instance.name, c.Signature}
		if first, ok := said[p]; c.Leaving && (!ok || c.End.Before(first)) {
			said[p] = c.End
		}
	}
	for _, c := range tb.callers.calls {
		for _, r := range runs[c.ID] {
			at, ok := said[pair{c.Instance.name, "sig-" + r.server.idAt(r.At)}]
			if ok && c.Start.Sub(at) > drainBound && !c.Instance.disturbances.overlaps(at, r.At, anyFault) {
				violations = append(violations, fmt.Sprintf("%s reached %s %v after %s had passed on that it leaves",
					c.ID, r.server.idAt(r.At), c.Start.Sub(at), c.Instance.name))
			}
		}
	}
	return violations
}

func anyFault(fault) bool { return true }

// checkPauses reports servers that were asked more often in a pause than the instances together may. An instance that was
// disturbed may have forgotten the pause, and a server whose link was disturbed may get requests late.
func (tb *testbed) checkPauses() (violations []string) {
	for _, b := range tb.servers {
		for _, s := range b.all {
			asked := s.Pauses()
			for n, at := range asked {
				from, to := at.Add(pauseReaction), at.Add(serverPause*time.Second)
				arrived := 0
				for _, later := range asked[n:] {
					if later.After(from) && later.Before(to) {
						arrived++
					}
				}
				if arrived > maxInPause*len(tb.instances) && tb.undisturbedForPause(b, at, to) {
					violations = append(violations, fmt.Sprintf("%s was asked %d times in a pause of %d s", s.ID, arrived, serverPause))
				}
			}
		}
	}
	return violations
}

// undisturbedForPause reports whether no instance was disturbed in the period, and the server by nothing but its own pauses.
func (tb *testbed) undisturbedForPause(b *backend, from, to time.Time) bool {
	for _, i := range tb.instances {
		if i.disturbances.overlaps(from, to, anyFault) {
			return false
		}
	}
	return !b.disturbances.overlaps(from, to, func(f fault) bool { return f != serverAsksPause }) && tb.stalls.undisturbed(from, to, "")
}
