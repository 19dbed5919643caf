package main

import (
	"fmt"
	"net/http"
	"time"

	"azurebridge/platform/standin"
)

// Bounds that the system promises.
const (
	stability    = 4 * time.Second // without disturbance, until an instance counts as in touch
	drainBound   = 2500 * time.Millisecond
	configBound  = 2500 * time.Millisecond
	evacuateTime = 5 * time.Second
	answerSlack  = 500 * time.Millisecond // beyond the route's time-out
	stopGrace    = 6 * time.Second
	routeTimeout = 2 * time.Second
	// leastServed is the share of calls that must be served once the faults are over.
	leastServed = 0.95
	// mostRuns is the number of times that a request may run that may run more than once: the route allows two servers, and
	// the caller's HTTP client may send it a second time itself.
	mostRuns = 4
)

// departure is a time in which requests must not reach a backend server or a failure domain.
type departure struct {
	Server string // empty for a failure domain
	Domain int
	At     time.Time // acknowledged by the store
	Until  time.Time // zero while it lasts
	Bound  time.Duration
}

// ran is one run with the server it ran at.
type ran struct {
	standin.Run
	server *backend
}

// check compares what callers were told with what the servers did. Without timed, promises about times are left out.
func (w *world) check(timed bool) []string {
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := make(map[string][]ran)
	for _, b := range w.servers {
		for _, s := range b.all {
			for _, r := range s.Runs() {
				runs[r.ID] = append(runs[r.ID], ran{r, b})
			}
		}
	}
	for _, i := range w.instances {
		broken = append(broken, i.faults...)
	}
	broken = append(broken, w.broken...)
	for _, c := range w.callers.calls {
		list := runs[c.ID]
		switch {
		case c.Write && len(list) > 1:
			add("%s ran %d times", c.ID, len(list))
		case len(list) > mostRuns:
			add("%s ran %d times, route allows 2", c.ID, len(list))
		case c.Write && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) && len(list) > 0:
			add("%s was refused with %d and ran", c.ID, c.Status)
		}
		if wrong := c.wrongAnswer(); wrong != "" {
			add("%s at %s: %s", c.ID, c.Instance.name, wrong)
		}
		if c.Err != nil && len(list) > 0 && w.cutByPlannedStop(c, list) {
			add("%s at %s was cut by a planned stop: %v", c.ID, c.Instance.name, c.Err)
		}
		if !timed {
			continue
		}
		if took := c.End.Sub(c.Start); took > routeTimeout+answerSlack && c.Instance.trouble.calm(c.Start, c.End, "") && w.calm(c.Start, c.End) {
			add("%s at %s took %v", c.ID, c.Instance.name, took)
		}
		for _, r := range list {
			if d := w.reachedAfter(c, r); d != nil {
				add("%s reached %s%s %v after its departure, from %s", c.ID, d.Server, domains[d.Domain].name, r.At.Sub(d.At), c.Instance.name)
			}
		}
	}
	if timed {
		broken = append(broken, w.checkRecovery()...)
	}
	return broken
}

// wrongAnswer says what is wrong with a success, or with a failure that bears a server's signature.
func (c *call) wrongAnswer() string {
	if c.Err != nil || c.Status == 0 {
		return ""
	}
	if c.Status != http.StatusOK {
		if c.Signature != "" && c.Status != http.StatusInternalServerError {
			return fmt.Sprintf("status %d with the signature %s of a server that never answers so", c.Status, c.Signature)
		}
		return ""
	}
	var server, id string
	if _, err := fmt.Sscanf(c.Body, "answer of %s to %s", &server, &id); err != nil || id != c.ID || c.Signature != "sig-"+server {
		return fmt.Sprintf("success with body %q and signature %q", c.Body, c.Signature)
	}
	return ""
}

// cutByPlannedStop reports whether the only thing that disturbed a call which has run was a planned stop of its instance.
func (w *world) cutByPlannedStop(c *call, list []ran) bool {
	for _, r := range list {
		if !r.server.trouble.calm(c.Start, c.End, "") {
			return false
		}
	}
	stopped := c.Instance.trouble.met(c.Start, c.End, func(f fault) bool { return f == stopInstance })
	return stopped && c.Instance.trouble.calm(c.Start, c.End, stopInstance) && w.calm(c.Start, c.End)
}

// reachedAfter returns the departure that a run breaks, or nil.
func (w *world) reachedAfter(c *call, r ran) *departure {
	if !c.Instance.trouble.calm(r.At, r.At, "") || !w.calm(r.At, r.At) || !r.server.trouble.calm(r.At, r.At, "") {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.departures {
		concerns := d.Server == "" && d.Domain == r.server.domain || d.Server != "" && d.Server == r.server.idAt(r.At)
		if concerns && r.At.After(d.At.Add(d.Bound)) && (d.Until.IsZero() || r.At.Before(d.Until)) {
			return d
		}
	}
	return nil
}

// checkRecovery finds callers that are not served although the faults have been over for a while.
func (w *world) checkRecovery() []string {
	from := w.end.Add(-(calmEnd - stability))
	total, served := 0, 0
	for _, c := range w.callers.calls {
		if c.Start.After(from) {
			total++
			if c.ok() {
				served++
			}
		}
	}
	if float64(served) < leastServed*float64(total) && w.stalls.calm(from, w.end, "") {
		return []string{fmt.Sprintf("%d of %d calls were served after the faults", served, total)}
	}
	return nil
}
