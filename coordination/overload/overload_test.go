package overload

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 500, 50) }

// newRequest returns a request that is in time.
func newRequest() Request {
	return Request{Expected: 400 * time.Millisecond, TimeLeft: 8 * time.Second, Target: time.Second}
}

// Guards against a refusal of what could be served while capacity suffices, against requests that are offered to a server although
// they cannot be answered before their deadline, and against retries and late requests that take capacity when it is short.
func TestRequestsAreAdmittedByValue(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*Request)
		shortage float64
		want     Reason
	}{
		"in time":                    {func(*Request) {}, 0, Admitted},
		"late":                       {func(r *Request) { r.Expected, r.Queued = 7*time.Second, true }, 0, Admitted},
		"past its deadline":          {func(r *Request) { r.Expected, r.Queued = 9*time.Second, true }, 0, Hopeless},
		"work beyond its deadline":   {func(r *Request) { r.Expected = 9 * time.Second }, 0, Admitted},
		"late by what was waited":    {func(r *Request) { r.Expected, r.TimeLeft, r.Waited = 2*time.Second, time.Second, 7*time.Second }, 0, Hopeless},
		"retry":                      {func(r *Request) { r.Retry, r.Queued = true, true }, 0, Admitted},
		"in time, short":             {func(r *Request) { r.Queued = true }, 0.2, Admitted},
		"late, short":                {func(r *Request) { r.Expected, r.Queued = 2*time.Second, true }, 0.2, Late},
		"late, little short":         {func(r *Request) { r.Expected, r.Queued = 2*time.Second, true }, 0.05, Admitted},
		"late by its work, short":    {func(r *Request) { r.Expected = 2 * time.Second }, 0.2, Admitted},
		"late after a first try":     {func(r *Request) { r.Queued, r.Waited = true, 700*time.Millisecond }, 0.2, Late},
		"no target, short":           {func(r *Request) { r.Expected, r.Target, r.Queued = 2*time.Second, 0, true }, 0.2, Admitted},
		"retry with a queue, short":  {func(r *Request) { r.Retry, r.Queued = true, true }, 0.05, Displacing},
		"retry at a free slot":       {func(r *Request) { r.Retry = true }, 0.05, Admitted},
		"all capacity is gone, late": {func(r *Request) { r.Expected, r.Queued = 2*time.Second, true }, 0.9, Late},
	} {
		r := newRequest()
		c.change(&r)
		NewWithT(t).Expect(Decide(r, State{Classes: [numClasses]ClassState{{Share: 1}}}, c.shortage, 0.95)).To(Equal(c.want), name)
	}
}

// Guards against a shortage that is assumed because of one busy server or a few that reject, and against one that is not noticed.
func TestShortageFollowsTheWholeService(t *testing.T) {
	g := NewWithT(t)
	work := 400 * time.Millisecond
	s := func(utilization, rejecting float64) float64 {
		return State{Utilization: utilization, Rejecting: rejecting, Target: time.Second}.Shortage(work)
	}
	g.Expect(s(0.9, 0)).To(BeZero())
	g.Expect(s(1.2, 0)).To(BeZero(), "short queues")
	g.Expect(s(0.5, 0.4)).To(BeZero(), "some servers reject, and others have free slots")
	g.Expect(s(1.9, 0)).To(BeNumerically("~", 0.5, 0.1))
	g.Expect(s(2.5, 0)).To(Equal(maxShortage), "the mean request is late")
	g.Expect(s(1.5, 0.2)).To(BeNumerically(">", 0.5), "busy, and a fifth is rejected")
	g.Expect(s(0, 1)).To(Equal(maxShortage), "all servers reject")
	g.Expect(State{}.Shortage(0)).To(BeZero(), "nothing is known")
}

// Guards against a priority that is served less often than a less urgent one, against a class that is refused entirely, and against
// refusing a share other than what the shortage needs.
func TestLeastUrgentAreRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		total := 0.0
		for i := range s.Classes {
			s.Classes[i].Share = rapid.Float64Range(0, 1).Draw(t, "share")
			total += s.Classes[i].Share
		}
		total = max(total, 1e-9)
		shortage := rapid.Float64Range(0, maxShortage).Draw(t, "shortage")
		refused := 0.0
		for i := range s.Classes {
			s.Classes[i].Share /= total
			if i > 0 && s.RefusedShare(i, shortage) < s.RefusedShare(i-1, shortage)-1e-9 {
				t.Fatalf("priority %d is refused less often than %d", i, i-1)
			}
		}
		for i := range s.Classes {
			share := s.RefusedShare(i, shortage)
			if served, mean := 1-share, 1-shortage; served < mean/4 {
				t.Fatalf("priority %d is served %f, all %f", i, served, mean)
			}
			refused += share * s.Classes[i].Share
		}
		if total > 1e-6 && (refused < shortage-0.01 || refused > shortage+0.01) {
			t.Fatalf("%f is refused, the shortage is %f", refused, shortage)
		}
	})
}

// Guards against less urgent requests that are served while more urgent ones are refused because their targets are shorter.
func TestLessUrgentRequestsAreRefusedAsOftenAsMoreUrgentOnes(t *testing.T) {
	g := NewWithT(t)
	var p Pressure
	at := state.Instant(time.Hour)
	for range 40 {
		p.Arrived(at, 0, time.Second)
		p.Arrived(at, 2, 3*time.Second)
	}
	for range 20 {
		p.Refused(at, 0)
	}
	s := p.At(at)
	g.Expect(s.Target).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	g.Expect(s.RefusedShare(0, 0.05)).To(BeZero())
	g.Expect(s.RefusedShare(2, 0.05)).To(BeNumerically("~", math.Sqrt(0.5-allowedLoss), 0.01))
	for range 16 {
		p.Late(at, 2)
	}
	g.Expect(p.At(at).RefusedShare(2, 0.05)).To(BeNumerically("~", 0.5, 0.01), "the less urgent ones are late as well")
}

// Guards against an estimate that outlives what it is based on, and against one of few reports.
func TestPressureIsForgotten(t *testing.T) {
	g := NewWithT(t)
	var p Pressure
	at := state.Instant(time.Hour)
	g.Expect(p.At(at)).To(Equal(State{}))
	p.Reported(at, 3, true)
	g.Expect(p.At(at).Utilization).To(Equal(1.5), "one report")
	for range 20 {
		p.Reported(at, 3, true)
	}
	g.Expect(p.At(at).Utilization).To(BeNumerically("~", 3, 1e-9))
	g.Expect(p.At(at).Rejecting).To(BeNumerically("~", 1, 1e-9))
	g.Expect(p.At(at.Add(20 * time.Second)).Utilization).To(BeNumerically("<", 0.01))
}

// Guards against callers that all return at the same time, before there is room, or never.
func TestRefusedCallersReturnWhenQueuesHaveDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		utilization := rapid.Float64Range(0, 4).Draw(t, "utilization")
		work := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
		drained := time.Duration(max(0, utilization-noShortage) * float64(work))
		earliest, latest := RetryAfter(utilization, work, 0), RetryAfter(utilization, work, 0.999)
		if earliest != drained || latest-earliest < minSpread*9/10 || latest > drained+max(minSpread, drained/2) {
			t.Fatalf("from %s to %s, the queue takes %s", earliest, latest, drained)
		}
	})
}
