package quarantine

import (
	"cmp"
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
