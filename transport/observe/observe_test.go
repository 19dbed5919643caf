package observe_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/state/report"
	"azurebridge/transport/observe"
)

func snapshot() *state.Snapshot {
	c := &state.Config{
		Revision: 3, Regions: []state.Region{{Name: "q"}, {Name: "r"}}, Services: []state.Service{{Name: "s", Kind: state.KindLookup}},
		Plans:     []state.Plan{{Name: "p", Regions: []state.RegionName{"q", "r"}, Services: []state.PlanService{{Service: "s"}}}},
		Customers: []state.Customer{{Name: "c", Plan: "p"}},
	}
	load := state.RegionLoad{Region: "q", Running: 9, Services: []state.ServiceLoad{{Service: "s", Slots: 8, Running: 4, Queued: 1}}}
	return &state.Snapshot{
		Self: state.Instance{Name: "i", Region: "r"}, Config: c, Index: state.NewIndex(c), Loads: map[state.RegionName]state.RegionLoad{"q": load},
	}
}

// discardWriter is a response writer that discards the status and the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *discardWriter) WriteHeader(int)             {}

type fixture struct {
	now state.Instant
	rec *observe.Recorder
	s   *state.Snapshot
}

func newFixture() *fixture {
	f := &fixture{s: snapshot()}
	f.rec = observe.New(func() state.Instant { return f.now }, func() *state.Snapshot { return f.s })
	return f
}

func (f *fixture) serve(customer state.CustomerName, outcome callers.Outcome, refusal message.Refusal, took time.Duration) {
	q := f.rec.Begin(httptest.NewRecorder())
	q.Identify(f.s, customer, "s")
	if refusal != "" {
		q.Refused(refusal)
	} else {
		q.Granted("q", "server-1")
	}
	f.now = f.now.Add(took)
	q.Header().Set(callers.HeaderOutcome, string(outcome))
	_, _ = q.Write([]byte("0123456789"))
	f.now = f.now.Add(took)
	q.Complete()
	q.End()
}

// Guards against requests that are counted under a wrong outcome or reason, and against old requests that stay in the window
// or are lost from the total.
func TestWindowSlidesAndTotalStays(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.serve("c", callers.OutcomeRan, "", 10*time.Millisecond)
	f.serve("c", callers.OutcomeNotRun, message.RefusedRegion, 0)
	f.serve("c", callers.OutcomeUnknown, observe.ReasonBackend, 0)
	p := f.rec.Summary()
	g.Expect(p.Pairs).To(HaveLen(1))
	w := p.Pairs[0].Window
	g.Expect([]uint64{w.Requests, w.Admitted, w.Ran, w.NotRun, w.Unknown}).To(Equal([]uint64{3, 1, 1, 1, 1}))
	g.Expect(w.Refused).To(Equal([]report.Reason{{Why: "region_limit", Count: 1}}))
	g.Expect(float64(w.FirstByte.Quantile(0.5))).To(BeNumerically("~", 10e6, 10e6*report.MaxError))
	g.Expect(float64(w.Whole.Quantile(0.5))).To(BeNumerically("~", 20e6, 20e6*report.MaxError))
	g.Expect(p.Links[0].Bytes).To(Equal(uint64(10)))
	for range observe.MaxCopies {
		f.now = f.now.Add(observe.CopyInterval)
		f.rec.Copy()
	}
	f.serve("d", callers.OutcomeRan, "", time.Millisecond)
	p = f.rec.Summary()
	g.Expect(p.Pairs[0].Window.Requests).To(BeZero())
	g.Expect(p.Pairs[0].Total.Requests).To(Equal(uint64(3)))
	g.Expect(p.Pairs[1].Window.Requests).To(Equal(uint64(1)))
	g.Expect(p.Links[0].Bytes).To(Equal(uint64(10)))
	g.Expect(p.Valid()).To(BeTrue())
}

// Guards against memory that grows without bound with the number of pairs of customer and service.
func TestPairsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	for i := range report.MaxPairs + 3 {
		f.serve(state.CustomerName(rune(0x1000+i)), callers.OutcomeRan, "", 0)
	}
	g.Expect(f.rec.Summary().Pairs).To(HaveLen(report.MaxPairs))
	g.Expect(f.rec.Summary().Overflow).To(Equal(uint64(3)))
}

// Guards against decisions without the candidates and refusals that explain them, against a wrong order, against filters that
// match too much, and against more decisions than MaxDecisionRate and MaxDecisions allow.
func TestDecisionsExplainNewestFirst(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.serve("c", callers.OutcomeRan, "", time.Millisecond)
	f.serve("c", callers.OutcomeNotRun, message.RefusedLink, 0)
	f.serve("d", callers.OutcomeRan, "", 0)
	all := f.rec.Decisions("", "")
	g.Expect([]state.CustomerName{all[0].Customer, all[1].Customer, all[2].Customer}).To(Equal([]state.CustomerName{"d", "c", "c"}))
	c := f.rec.Decisions("c", "s")
	g.Expect(c).To(HaveLen(2))
	g.Expect(f.rec.Decisions("c", "other")).To(BeEmpty())
	g.Expect(c[0].Refusals).To(Equal([]message.Refusal{message.RefusedLink}))
	g.Expect(c[1].Candidates).To(Equal([]observe.Candidate{
		{Region: "r", AgeMs: -1}, {Region: "q", Running: 4, Queued: 1, Slots: 8, RegionRunning: 9, AgeMs: 0},
	}))
	g.Expect(c[1].Backend).To(Equal(state.BackendName("server-1")))
	g.Expect(c[1].WholeMs).To(Equal(2.0))
	for range 1000 {
		f.serve("c", callers.OutcomeRan, "", 0)
	}
	g.Expect(len(f.rec.Decisions("", ""))).To(Equal(observe.MaxDecisionRate + 1)) // and the refused request, which has a rate of its own
	f.now = f.now.Add(time.Second)
	for range 2 * observe.MaxDecisions {
		f.serve("c", callers.OutcomeRan, "", 0)
		f.now = f.now.Add(20 * time.Millisecond)
	}
	g.Expect(f.rec.Decisions("", "")).To(HaveLen(observe.MaxDecisions))
}

// Guards against data races between requests, copies of the counters and readers, and against lost counts.
func TestConcurrentRecording(t *testing.T) {
	g := NewWithT(t)
	s := snapshot()
	rec := observe.New(state.MonotonicClock(), func() *state.Snapshot { return s })
	var writers sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		for ctx.Err() == nil {
			rec.Copy()
			rec.Summary()
			rec.Decisions("", "")
		}
	}()
	for range 4 {
		writers.Go(func() {
			for range 500 {
				q := rec.Begin(&discardWriter{make(http.Header)})
				q.Identify(s, "c", "s")
				q.WriteHeader(http.StatusOK)
				q.Complete()
				q.End()
			}
		})
	}
	writers.Wait()
	stop()
	<-readerDone
	g.Expect(rec.Summary().Pairs[0].Total.Requests).To(Equal(uint64(2000)))
}

// BenchmarkRecord measures the cost of recording a request. The goal is less than 200 ns and no allocation.
func BenchmarkRecord(b *testing.B) {
	s := snapshot()
	rec := observe.New(state.MonotonicClock(), func() *state.Snapshot { return s })
	header := http.Header{callers.HeaderOutcome: []string{string(callers.OutcomeRan)}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		w := &discardWriter{header}
		body := []byte("answer")
		for pb.Next() {
			q := rec.Begin(w)
			q.Identify(s, "c", "s")
			q.Granted("r", "server-1")
			q.WriteHeader(http.StatusOK)
			_, _ = q.Write(body)
			q.Complete()
			q.End()
		}
	})
}
