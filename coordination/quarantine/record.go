package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurebridge/state"
)

// End is the end of a process under a request.
type End struct {
	Process Process
	Domain  state.DomainName
	At      state.Instant
}

// Record is the evidence against one request.
type Record struct {
	Fingerprint Fingerprint
	Route       string
	Ends        []End         // of different processes
	ClearedAt   state.Instant // evidence from before has been refuted by a server's answer; 0 for none
	Level       int           // number of quarantines in a row; 0 when the request is not quarantined
	Since       state.Instant // begin of the last quarantine
	Until       state.Instant // end of the last quarantine
	ProbedUntil state.Instant // until then a probe is in progress
}

// plausible reports whether a record of another instance is within the bounds that all instances keep, and not too old.
func (r *Record) plausible(now state.Instant) bool {
	if r.Level < 0 || r.Until.Sub(now) > maxQuarantine+clockSlack || r.ProbedUntil.Sub(now) > probeTime+clockSlack ||
		r.ClearedAt.Sub(now) > clockSlack {
		return false
	}
	return now.Before(r.forgetAt())
}

// refuted reports whether a server has answered the request at or after an instant.
func (r *Record) refuted(at state.Instant) bool { return r.ClearedAt != 0 && !r.ClearedAt.Before(at) }

// forgetAt returns when a record is forgotten. It follows from the record alone, so that instances do not remind each other of
// evidence without end.
func (r *Record) forgetAt() state.Instant {
	last := state.Instant(math.MinInt64)
	if r.ClearedAt != 0 {
		last = r.ClearedAt
	}
	if r.Level > 0 {
		last = max(last, r.Until)
	}
	for _, end := range r.Ends {
		last = max(last, end.At)
	}
	if last == math.MinInt64 {
		return last
	}
	return last.Add(evidenceRetention)
}

// Shift returns the record with all instants moved by d. Between instances, instants count from the time of sending.
func (r Record) Shift(d time.Duration) Record {
	shift := func(at state.Instant) state.Instant {
		if at == 0 {
			return 0
		}
		if at = at.Add(d); at == 0 {
			return 1 // 0 means none
		}
		return at
	}
	r.Ends = slices.Clone(r.Ends)
	for i := range r.Ends {
		r.Ends[i].At = shift(r.Ends[i].At)
	}
	r.ClearedAt, r.Since, r.Until, r.ProbedUntil = shift(r.ClearedAt), shift(r.Since), shift(r.Until), shift(r.ProbedUntil)
	return r
}

func sortRecords(list []Record) {
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
