package quarantine

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/state"
)

// Judge applies the rule to the requests with new ends. It follows all ends that became known together, so that the failure of a
// whole domain is recognized.
func (l *Ledger) Judge(now state.Instant) {
	if !l.pending(now) {
		return
	}
	for _, e := range l.unjudged(now) {
		e.unjudged, e.judgeAt = false, 0
		e.Ends = slices.DeleteFunc(slices.Clone(e.Ends), func(x End) bool { return now.Sub(x.At) > evidenceRetention })
		if len(e.Ends) == 0 {
			continue
		}
		last := e.Ends[len(e.Ends)-1]
		switch {
		case len(e.Ends) < Threshold && e.Level == 0: // counting takes long with much evidence
		case e.Level == 0 && (l.count(e, true) >= Threshold || l.count(e, false) >= CertainThreshold):
			l.quarantine(now, e)
		case e.Level > 0 && !last.At.Before(e.Until):
			l.judgeProbe(now, e, last)
		}
	}
}

// unjudged returns the entries with new ends that are to be judged now. Those with the most ends come first, since they may explain
// the ends of others; the order does not depend on the instance.
func (l *Ledger) unjudged(now state.Instant) []*entry {
	var out []*entry
	for _, e := range l.entries {
		if e.unjudged && !now.Before(e.judgeAt) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// judgeProbe quarantines a request again whose probe has ended a server. If another request explains the end, a second probe is
// allowed instead, but no third one.
func (l *Ledger) judgeProbe(now state.Instant, e *entry, last End) {
	if e.excused || !l.explained(e, last.Process) {
		l.quarantine(now, e)
		return
	}
	e.excused, e.ProbedUntil, l.stale = true, 0, true
	e.probe.taken.Store(0)
}

func (l *Ledger) quarantine(now state.Instant, e *entry) {
	e.Level++
	e.Since, e.Until, e.ProbedUntil, l.stale = now, now.Add(duration(e.Level)), 0, true
	e.probe.taken.Store(0)
	e.excused = false
	e.announce(now)
	l.changes = append(l.changes, Change{Record: e.Record})
}

// duration returns the time of the n-th quarantine in a row.
func duration(n int) time.Duration { return min(firstQuarantine<<min(n-1, 10), maxQuarantine) }

// count returns the number of ends that count for a request. With explained, those do not count that another request on the
// process explains better: one that is quarantined, or under which more processes have ended.
func (l *Ledger) count(e *entry, explained bool) int {
	n := 0
	counted := make(map[state.DomainName][]state.Instant) // moments in which a failure domain failed
	for _, end := range e.Ends {
		if explained && l.explained(e, end.Process) {
			continue
		}
		if l.massive(e, end) {
			near := func(at state.Instant) bool { return distance(at, end.At) <= massMoment }
			if slices.ContainsFunc(counted[end.Domain], near) {
				continue
			}
			counted[end.Domain] = append(counted[end.Domain], end.At)
		}
		n++
	}
	return n
}

func (l *Ledger) explained(e *entry, p Process) bool {
	for _, other := range l.entries {
		if other != e && (other.Level > 0 || len(other.Ends) > len(e.Ends)) && other.on(p) {
			return true
		}
	}
	return false
}

// massive reports whether the process ended with many others of its failure domain, most of which the request was not on.
func (l *Ledger) massive(e *entry, end End) bool {
	if end.Domain == "" {
		return false
	}
	all, own := make(map[Process]bool), 0
	for _, other := range l.entries {
		for _, x := range other.Ends {
			if x.Domain == end.Domain && distance(x.At, end.At) <= massMoment && !all[x.Process] {
				all[x.Process] = true
				if e.on(x.Process) {
					own++
				}
			}
		}
	}
	return len(all) >= massEnds && 2*own < len(all)
}

func distance(a, b state.Instant) time.Duration { return a.Sub(b).Abs() }
