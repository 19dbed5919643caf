package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurebridge/state"
)

// The rule: a request is quarantined when Threshold processes of backend servers have ended under it and no server has answered
// it since. An end does not count for a request if another request on the same process explains it better, and ends of many
// servers of one failure domain at the same moment count as one, unless the request was on half of them.
const (
	// Threshold is the number of ended processes after which a request must go to no further server.
	Threshold = 3
	// CertainThreshold is the number of ended processes that suffices even where other requests explain the ends better. Two deadly
	// requests could otherwise hide each other.
	CertainThreshold = 6
	// massEnds processes of one failure domain that end within massMoment of each other have probably lost power or network.
	massEnds   = 4
	massMoment = time.Second
)

// Times of the quarantine.
const (
	firstQuarantine = 10 * time.Second // doubles each time that a server ends under the request after its quarantine
	maxQuarantine   = 5 * time.Minute
	// evidenceRetention is how long an end counts, and how long after its quarantine a request is sent as single probes only.
	evidenceRetention = 2 * time.Minute
	// probeTime is how long other probes wait for the outcome of one. Deadly requests end their servers at once; others are
	// answered within the usual deadlines of 8 to 12 s.
	probeTime = 12 * time.Second
	// singleHold is how long an instance waits before it announces a request's first end. Innocent requests are usually answered
	// by another server meanwhile, so that their evidence is never sent.
	singleHold = 2 * time.Second
	// probeHold is how long the judgement of a probe that has ended its server waits for the evidence of other instances. The
	// probes of requests that were quarantined together coincide, and one of them may have ended the server of another.
	probeHold = 500 * time.Millisecond
	// clearedRetention is how long a refutation is repeated to other instances that may have missed it.
	clearedRetention = 20 * time.Second
	// clockSlack is the max difference of instants between instances, which pass ages: the delays of some messages.
	clockSlack = time.Second
)

// Bounds of the evidence.
const (
	maxRecords = 1024
	maxEnds    = 8 // of one request; the oldest are kept, since they suffice
	// MaxAnnouncedEnds bounds the ends in one message, which must fit into a datagram. Threshold of them suffice for a judgement.
	MaxAnnouncedEnds = 4
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

// entry is a record with what only its ledger needs.
type entry struct {
	Record
	announceAt state.Instant // when the record is announced to other instances; 0 for never
	unjudged   bool          // has new ends
	judgeAt    state.Instant // not before; 0 for at once
	excused    bool          // an end after the quarantine did not count, since another request explained it
	probe      *probe
}

// Change is a change of state that operators should know.
type Change struct {
	Record  Record
	Cleared bool
}

// Ledger holds the evidence that is known to an instance. It belongs to the control goroutine.
type Ledger struct {
	self     state.InstanceName
	entries  map[Fingerprint]*entry
	changes  []Change
	snapshot *Snapshot
	stale    bool          // the snapshot is outdated
	changed  bool          // entries have changed since the last Tick
	due      state.Instant // when Tick is due without a change; 0 for never
	Missed   uint64        // ends under requests for which there was no room
}

// NewLedger returns an empty ledger of an instance.
func NewLedger(self state.InstanceName) *Ledger {
	return &Ledger{self: self, entries: make(map[Fingerprint]*entry)}
}

// Add records that a process has ended under a request. Judge applies the rule.
func (l *Ledger) Add(now state.Instant, f Fingerprint, route string, end End) {
	l.changed = true
	e := l.entryOf(f)
	if e == nil || !l.addEnd(now, e, end) {
		return
	}
	e.Route = cmp.Or(e.Route, route)
	at := now
	if len(e.Ends) == 1 && e.Level == 0 {
		at = now.Add(singleHold)
	}
	e.announce(at)
}

// Answered records that a server has answered the request without ending, which refutes the evidence.
func (l *Ledger) Answered(now state.Instant, f Fingerprint) {
	e := l.entries[f]
	if e == nil || len(e.Ends) == 0 && e.Level == 0 {
		return
	}
	l.changed = true
	known := e.Level > 0 || len(e.Ends) > 1 || e.announceAt == 0 // to other instances
	l.clear(e, now)
	e.announceAt = 0
	if known {
		e.announceAt = now
	}
}

// ProbeBegun records that this instance sends the request as a probe.
func (l *Ledger) ProbeBegun(now state.Instant, f Fingerprint) {
	if e := l.entries[f]; e != nil && e.Level > 0 {
		e.ProbedUntil, l.stale, l.changed = now.Add(probeTime), true, true
		e.announce(now)
	}
}

// ProbeEnded records that this instance's probe has ended without having run.
func (l *Ledger) ProbeEnded(f Fingerprint) {
	if e := l.entries[f]; e != nil && e.Level > 0 {
		e.ProbedUntil, l.stale = 0, true
		e.probe.taken.Store(0)
	}
}

// Merge adds what another instance has found. Ages of messages make instants later, never earlier, so that the earlier ones of
// two are kept.
func (l *Ledger) Merge(now state.Instant, r Record) {
	if !r.plausible(now) {
		return
	}
	e := l.entryOf(r.Fingerprint)
	if e == nil {
		return
	}
	e.Route = cmp.Or(e.Route, r.Route)
	if r.ClearedAt != 0 && r.Level == 0 && (e.ClearedAt == 0 || r.ClearedAt.Sub(e.ClearedAt) > clockSlack) {
		l.clear(e, r.ClearedAt)
	}
	for _, end := range r.Ends[:min(len(r.Ends), maxEnds)] {
		l.addEnd(now, e, end)
	}
	if r.Level > 0 && !e.refuted(r.Since) {
		l.mergeQuarantine(now, e, r)
	}
}

func (l *Ledger) mergeQuarantine(now state.Instant, e *entry, r Record) {
	first := e.Level == 0
	if r.Level > e.Level || r.Level == e.Level && r.Until.Before(e.Until) {
		e.Level, e.Since, e.Until, l.stale, l.changed = r.Level, r.Since, r.Until, true, true
	}
	if r.ProbedUntil != 0 && !now.Before(e.ProbedUntil) {
		e.ProbedUntil, l.stale = r.ProbedUntil, true
	}
	if first {
		l.changes = append(l.changes, Change{Record: e.Record})
	}
}

// plausible reports whether a record of another instance is within the bounds that all instances keep, and not too old.
func (r *Record) plausible(now state.Instant) bool {
	if r.Level < 0 || r.Until.Sub(now) > maxQuarantine+clockSlack || r.ProbedUntil.Sub(now) > probeTime+clockSlack ||
		r.ClearedAt.Sub(now) > clockSlack {
		return false
	}
	return now.Before(r.forgetAt())
}

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

// entryOf returns the entry of a request, a new one if there is none. It returns nil when all entries are of quarantined requests
// and there is no room for another.
func (l *Ledger) entryOf(f Fingerprint) *entry {
	e := l.entries[f]
	if e == nil {
		if len(l.entries) >= maxRecords && !l.evict() {
			l.Missed++
			return nil
		}
		e = &entry{Record: Record{Fingerprint: f}, probe: &probe{}}
		l.entries[f] = e
		l.changed = true
	}
	return e
}

// evict removes the entry that would be forgotten first, of those not quarantined.
func (l *Ledger) evict() bool {
	var oldest *entry
	for _, e := range l.entries {
		if e.Level == 0 && (oldest == nil || e.forgetAt().Before(oldest.forgetAt())) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(l.entries, oldest.Fingerprint)
	l.Missed++
	l.stale = true
	return true
}

// addEnd adds an end unless it is known or refuted. Of more than maxEnds, the newest replaces the last one.
func (l *Ledger) addEnd(now state.Instant, e *entry, end End) bool {
	if e.on(end.Process) || e.refuted(end.At) || now.Sub(end.At) > evidenceRetention {
		return false
	}
	if len(e.Ends) >= maxEnds {
		e.Ends = slices.Delete(slices.Clone(e.Ends), maxEnds-1, maxEnds)
	}
	e.Ends = append(slices.Clip(e.Ends), end)
	e.unjudged, l.stale, l.changed = true, true, true
	if e.Level > 0 {
		e.judgeAt = now.Add(probeHold)
	}
	return true
}

// clear removes the evidence up to an instant.
func (l *Ledger) clear(e *entry, at state.Instant) {
	e.ClearedAt, l.stale, l.changed = at, true, true
	e.Ends = slices.DeleteFunc(slices.Clone(e.Ends), func(x End) bool { return !at.Before(x.At) })
	e.unjudged = len(e.Ends) > 0
	if e.Level > 0 && !at.Before(e.Since) {
		l.changes = append(l.changes, Change{Record: e.Record, Cleared: true})
		e.Level, e.Since, e.Until, e.ProbedUntil, e.judgeAt, e.excused = 0, 0, 0, 0, 0, false
		e.probe.taken.Store(0)
	}
}

// announce lets the record be announced at the given time, or earlier if that is planned.
func (e *entry) announce(at state.Instant) {
	if e.announceAt == 0 || at.Before(e.announceAt) {
		e.announceAt = at
	}
}

func (e *entry) on(p Process) bool {
	return slices.ContainsFunc(e.Ends, func(x End) bool { return x.Process == p })
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

// announced returns the record as it is announced: with the newest ends.
func (e *entry) announced() Record {
	r := e.Record
	r.Ends = r.Ends[max(0, len(r.Ends)-MaxAnnouncedEnds):]
	if r.Level > 0 {
		r.ClearedAt = 0 // from before the quarantine
	}
	return r
}

// Tick forgets old evidence and returns the records that other instances should learn now.
func (l *Ledger) Tick(now state.Instant) []Record {
	if !l.pending(now) {
		return nil
	}
	var out []Record
	for f, e := range l.entries {
		if e.announceAt != 0 && !now.Before(e.announceAt) {
			out = append(out, e.announced())
			e.announceAt = 0
			if again := now.Add(probeHold / 2); again.Before(e.judgeAt) {
				e.announceAt = again // other instances wait for it, and a datagram may be lost
			}
		}
		if !now.Before(e.forgetAt()) {
			delete(l.entries, f)
			l.stale = true
		}
	}
	l.due, l.changed = l.nextDue(), false
	sortRecords(out)
	return out
}

func sortRecords(list []Record) {
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

// pending reports whether Judge or Tick may have something to do. They are called after every event of the control goroutine.
func (l *Ledger) pending(now state.Instant) bool {
	return l.changed || l.due != 0 && !now.Before(l.due)
}

// NextTick returns when Tick is due; false when never. It is valid after Tick.
func (l *Ledger) NextTick() (state.Instant, bool) { return l.due, l.due != 0 }

func (l *Ledger) nextDue() state.Instant {
	var due state.Instant
	for _, e := range l.entries {
		for _, at := range []state.Instant{e.announceAt, e.judgeAt, e.forgetAt()} {
			if at != 0 && (due == 0 || at.Before(due)) {
				due = at
			}
		}
	}
	return due
}

// TakeChanges returns the changes of state since the last call.
func (l *Ledger) TakeChanges() []Change {
	changes := l.changes
	l.changes = nil
	return changes
}
