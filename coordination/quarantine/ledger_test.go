package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

func at(d time.Duration) state.Instant { return state.Instant(time.Hour + d) }

func process(n int) Process { return Process{state.BackendName(fmt.Sprintf("s-%d", n)), 1} }

// end returns the end of the n-th process; each is in a domain of its own.
func end(n int, when state.Instant) End {
	return End{process(n), state.DomainName(fmt.Sprintf("d-%d", n)), when}
}

// endUnder records ends of the processes from first to last under a request, all at the same time.
func endUnder(l *Ledger, now state.Instant, f Fingerprint, first, last int) {
	for n := first; n <= last; n++ {
		l.Add(now, f, "read", end(n, now))
	}
	l.Judge(now)
}

func verdict(l *Ledger, now state.Instant, f Fingerprint) Verdict {
	v, _ := l.Snapshot().Judge(now, f, 1)
	return v
}

// Guards against fingerprints that are equal for different requests, or differ between the repetitions of one.
func TestFingerprints(t *testing.T) {
	g := NewWithT(t)
	f := FingerprintOf("GET", "x.example", "/a?q=1", nil, true)
	g.Expect(FingerprintOf("GET", "x.example", "/a?q=1", []byte{}, true)).To(Equal(f))
	for _, other := range []Fingerprint{
		FingerprintOf("PUT", "x.example", "/a?q=1", nil, true), FingerprintOf("GET", "y.example", "/a?q=1", nil, true),
		FingerprintOf("GET", "x.example", "/a?q=2", nil, true), FingerprintOf("GET", "x.example", "/a?q=1", []byte("b"), true),
		FingerprintOf("GET", "x.example", "/a?q=1", nil, false), FingerprintOf("GET", "x.example/a", "?q=1", nil, true),
	} {
		g.Expect(other).NotTo(Equal(f))
	}
}

// Guards against a quarantine by fewer than Threshold processes, or by one process that is counted several times.
func TestThresholdCountsDifferentProcesses(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	for range 5 {
		endUnder(l, at(0), 1, 1, 2)
	}
	g.Expect(verdict(l, at(0), 1)).To(Equal(Allowed))
	endUnder(l, at(0), 1, 3, 3)
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused))
	g.Expect(verdict(l, at(0), 2)).To(Equal(Allowed))
	g.Expect(l.TakeChanges()).To(HaveLen(1))
}

// Guards against the quarantine of an innocent request that a server has answered in between, and against evidence that returns
// with a delayed message.
func TestAnswerRefutesEvidence(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, 2)
	l.Answered(at(time.Second), 1)
	l.Merge(at(2*time.Second), Record{Fingerprint: 1, Ends: []End{end(1, at(0)), end(2, at(0))}, Level: 1, Since: at(0), Until: at(10 * time.Second)})
	endUnder(l, at(3*time.Second), 1, 3, 4)
	g.Expect(verdict(l, at(3*time.Second), 1)).To(Equal(Allowed))
	endUnder(l, at(4*time.Second), 1, 5, 5)
	g.Expect(verdict(l, at(4*time.Second), 1)).To(Equal(Refused))
}

// Guards against the quarantine of requests that were on the same servers as a deadly one.
func TestEndsExplainedByAnotherRequestDoNotCount(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, 3)
	endUnder(l, at(0), 2, 1, 3) // all of its servers ended under the quarantined one
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused))
	g.Expect(verdict(l, at(0), 2)).To(Equal(Allowed))
	endUnder(l, at(0), 2, 4, 6)
	g.Expect(verdict(l, at(0), 2)).To(Equal(Refused), "three of its own")
}

// Guards against two deadly requests on the same servers that hide each other without end.
func TestDeadlyRequestsCannotHideEachOther(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, CertainThreshold)
	endUnder(l, at(0), 2, 1, CertainThreshold)
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused))
	g.Expect(verdict(l, at(0), 2)).To(Equal(Refused))
}

// Guards against the quarantine of popular requests when a failure domain loses power: each was on a few of its servers.
func TestLossOfADomainQuarantinesNoRequest(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	for f := 1; f <= 5; f++ {
		for n := range 5 {
			l.Add(at(0), Fingerprint(f), "read", End{process((f*4 + n) % 20), "north-a", at(0)})
		}
	}
	l.Judge(at(0))
	for f := 1; f <= 5; f++ {
		g.Expect(verdict(l, at(0), Fingerprint(f))).To(Equal(Allowed), "request %d", f)
	}
}

// Guards against a deadly request that escapes because all servers that it has ended are of one domain.
func TestDeadlyRequestInOneDomainIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	for n := range 4 {
		l.Add(at(0), 1, "read", End{process(n), "north-a", at(0)})
		l.Add(at(0), Fingerprint(10+n), "read", End{process(n), "north-a", at(0)}) // another request on each server
	}
	l.Judge(at(0))
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused))
}

// Guards against a quarantine without end, more than one probe at a time, a quarantine that does not grow, and one that outlives a
// probe that was answered.
func TestQuarantineEndsByAProbe(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, 3)
	now := at(0)
	for _, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second, maxQuarantine, maxQuarantine} {
		_, after := l.Snapshot().Judge(now, 1, 1)
		g.Expect(after).To(And(BeNumerically(">=", want), BeNumerically("<", want+probeSpreadPerInstance+1)))
		now = now.Add(after)
		g.Expect(verdict(l, now, 1)).To(Equal(Probe))
		g.Expect(verdict(l, now, 1)).To(Equal(Refused), "a second probe")
		l.ProbeBegun(now, 1)
		endUnder(l, now, 1, int(now/1e9), int(now/1e9))
		g.Expect(verdict(l, now, 1)).To(Equal(Refused), "its judgement waits")
		now = now.Add(probeHold)
		l.Judge(now)
	}
	_, after := l.Snapshot().Judge(now, 1, 1)
	now = now.Add(after)
	g.Expect(verdict(l, now, 1)).To(Equal(Probe))
	l.ProbeBegun(now, 1)
	l.ProbeEnded(1)
	g.Expect(verdict(l, now, 1)).To(Equal(Probe), "the last one has not run")
	l.ProbeBegun(now, 1)
	l.Answered(now.Add(time.Second), 1)
	g.Expect(verdict(l, now.Add(time.Second), 1)).To(Equal(Allowed))
	g.Expect(l.TakeChanges()).To(HaveLen(9), "eight quarantines and their end")
}

// Guards against evidence that is kept without end, and that grows without a bound.
func TestEvidenceIsBoundedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, 3)
	for f := range 3 * maxRecords {
		endUnder(l, at(time.Duration(f)), Fingerprint(100+f), 1000+f, 1000+f)
	}
	g.Expect(len(l.entries)).To(Equal(maxRecords))
	g.Expect(l.Missed).To(Equal(uint64(2*maxRecords + 1)))
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused), "quarantined requests are kept")
	l.Tick(at(evidenceRetention + time.Second))
	g.Expect(l.entries).To(HaveLen(1))
	l.Tick(at(firstQuarantine + evidenceRetention))
	g.Expect(l.entries).To(BeEmpty())
	g.Expect(l.Snapshot().Empty()).To(BeTrue())
	_, due := l.NextTick()
	g.Expect(due).To(BeFalse())
}

// Guards against implausible messages, such as a quarantine for years, and against instants that grow later with each repetition.
func TestMessagesAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	r := Record{Fingerprint: 1, Ends: []End{end(1, at(0)), end(2, at(0)), end(3, at(0))}, Level: 1, Since: at(0), Until: at(10 * time.Second)}
	long := r
	long.Until = at(24 * time.Hour)
	l.Merge(at(0), long)
	old := r
	l.Merge(at(10*time.Minute), old)
	g.Expect(l.Snapshot().Empty()).To(BeTrue())
	l.Merge(at(0), r)
	for n := range 100 {
		l.Merge(at(0), r.Shift(time.Duration(n)*time.Millisecond))
	}
	g.Expect(l.Snapshot().Quarantined()[0].Until).To(Equal(at(10 * time.Second)))
	g.Expect(verdict(l, at(0), 1)).To(Equal(Refused))
	g.Expect(l.Tick(at(0))).To(BeEmpty(), "what was received is not announced again")
}

// Guards against an instance that has started after the evidence was found, whose clock was then not yet running.
func TestEvidenceFromBeforeTheStart(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	now := state.Instant(time.Second)
	l.Merge(now, Record{
		Fingerprint: 1, Level: 1, Since: now.Add(-3 * time.Second), Until: now.Add(7 * time.Second),
		Ends: []End{end(1, now.Add(-4*time.Second)), end(2, now.Add(-4*time.Second)), end(3, now.Add(-4*time.Second))},
	})
	g.Expect(verdict(l, now, 1)).To(Equal(Refused))
	l.Merge(now, Record{Fingerprint: 1, ClearedAt: now.Add(-time.Millisecond)})
	g.Expect(verdict(l, now, 1)).To(Equal(Allowed))
}

// Guards against a break that counts although its process goes on, and against the end of a process that becomes known first.
func TestBreaksCountOnlyForEndedProcesses(t *testing.T) {
	g := NewWithT(t)
	var b Breaks
	broken := Break{Fingerprint: 1, Process: process(1), At: at(0)}
	g.Expect(b.Broke(at(0), broken)).To(BeFalse())
	g.Expect(b.Ended(at(time.Second), process(2))).To(BeEmpty())
	g.Expect(b.Ended(at(ConfirmWindow), process(1))).To(Equal([]Break{broken}))
	g.Expect(b.Broke(at(ConfirmWindow), broken)).To(BeTrue())
	late := Break{Fingerprint: 1, Process: process(3), At: at(0)}
	g.Expect(b.Broke(at(0), late)).To(BeFalse())
	g.Expect(b.Ended(at(ConfirmWindow+1), process(3))).To(BeEmpty())
	for n := range 2 * maxBreaks {
		b.Broke(at(ConfirmWindow), Break{Process: process(n + 10), At: at(ConfirmWindow)})
	}
	g.Expect(b.waiting).To(HaveLen(maxBreaks))
}

// Guards against a longer quarantine of an innocent request whose probe was on the server that the probe of a deadly one ended, and
// against two deadly requests that excuse each other again and again.
func TestProbeBesideADeadlyProbeIsExcusedOnce(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger("front-1")
	endUnder(l, at(0), 1, 1, 3)
	endUnder(l, at(0), 2, 4, 6)
	now := at(firstQuarantine + time.Second)
	probe := func(n int) {
		g.Expect(verdict(l, now, 1)).To(Equal(Probe))
		l.ProbeBegun(now, 1)
		endUnder(l, now, 1, n, n)
		endUnder(l, now, 2, n, n)
		now = now.Add(probeHold)
		l.Judge(now)
	}
	probe(7)
	probe(8)
	g.Expect(verdict(l, now, 1)).To(Equal(Refused))
	g.Expect(l.Snapshot().records[1].Level).To(Equal(2))
}
