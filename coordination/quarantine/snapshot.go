package quarantine

import (
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Probes of different instances are spread over a time, so that one of them usually becomes known before the next one begins.
const (
	probeSpreadPerInstance = 20 * time.Millisecond
	maxProbeSpread         = 10 * time.Second
)

// probe lets one traffic goroutine of this instance at a time send a probe.
type probe struct {
	taken atomic.Int64 // state.Instant until which a probe may be in progress; 0 for none
}

// take returns true when no other probe is in progress.
func (p *probe) take(now state.Instant) bool {
	until := p.taken.Load()
	return now >= state.Instant(until) && p.taken.CompareAndSwap(until, int64(now.Add(probeTime)))
}

// Verdict is what may be done with a request.
type Verdict int

const (
	Allowed Verdict = iota
	Refused         // it must not be sent
	Probe           // it may be sent; no other one is sent meanwhile
)

// Snapshot is the evidence as traffic goroutines read it. It is immutable, and safe for concurrent use. A nil one is empty.
type Snapshot struct {
	self    state.InstanceName
	records map[Fingerprint]snapshotRecord
}

type snapshotRecord struct {
	Record
	probe *probe
}

// Snapshot returns the present evidence; nil when there is none.
func (l *Ledger) Snapshot() *Snapshot {
	if !l.stale {
		return l.snapshot
	}
	l.stale, l.snapshot = false, nil
	if len(l.entries) > 0 {
		s := &Snapshot{self: l.self, records: make(map[Fingerprint]snapshotRecord, len(l.entries))}
		for f, e := range l.entries {
			s.records[f] = snapshotRecord{e.Record, e.probe}
		}
		l.snapshot = s
	}
	return l.snapshot
}

// Outdated reports whether the evidence has changed since the last snapshot.
func (l *Ledger) Outdated() bool { return l.stale }

// Empty reports whether there is no evidence at all.
func (s *Snapshot) Empty() bool { return s == nil }

// Suspect reports whether there is evidence against a request.
func (s *Snapshot) Suspect(f Fingerprint) bool {
	if s == nil {
		return false
	}
	r, ok := s.records[f]
	return ok && r.against()
}

// against reports whether the record is evidence against the request, and not only of a refutation.
func (r *Record) against() bool { return r.Level > 0 || len(r.Ends) > 0 }

// Judge returns whether a request may be sent, and for a refused one the time after which its caller may return. instances is the
// number of live ones.
func (s *Snapshot) Judge(now state.Instant, f Fingerprint, instances int) (Verdict, time.Duration) {
	if s == nil {
		return Allowed, 0
	}
	r, ok := s.records[f]
	if !ok || r.Level == 0 {
		return Allowed, 0
	}
	spread := min(time.Duration(instances)*probeSpreadPerInstance, maxProbeSpread)
	first := r.Until.Add(time.Duration(float64(spread) * state.RendezvousFraction("probe "+f.String(), string(s.self))))
	first = max(first, r.ProbedUntil)
	if now.Before(first) {
		return Refused, first.Sub(now)
	}
	if !r.probe.take(now) {
		return Refused, max(time.Second, state.Instant(r.probe.taken.Load()).Sub(now))
	}
	return Probe, 0
}

// Quarantined returns the records of quarantined requests.
func (s *Snapshot) Quarantined() []Record {
	return s.list(func(r *Record) bool { return r.Level > 0 })
}

// Repeated returns the records that instances repeat to each other, for those that have started since or have missed a message:
// of quarantined requests, and of those refuted lately.
func (s *Snapshot) Repeated(now state.Instant) []Record {
	out := s.list(func(r *Record) bool {
		if r.Level > 0 {
			return r.forgetAt().Sub(now) > clockSlack
		}
		return r.ClearedAt != 0 && now.Sub(r.ClearedAt) < clearedRetention
	})
	for i := range out {
		out[i].Ends = out[i].Ends[max(0, len(out[i].Ends)-MaxAnnouncedEnds):]
		out[i].ProbedUntil = 0 // repeated probes would extend each other
	}
	return out
}

// Suspects returns the number of requests with evidence against them that are not quarantined.
func (s *Snapshot) Suspects() int {
	return len(s.list(func(r *Record) bool { return r.Level == 0 && len(r.Ends) > 0 }))
}

func (s *Snapshot) list(wanted func(r *Record) bool) []Record {
	if s == nil {
		return nil
	}
	var out []Record
	for _, r := range s.records {
		if wanted(&r.Record) {
			out = append(out, r.Record)
		}
	}
	sortRecords(out)
	return out
}
