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

// writer is a response writer that keeps nothing but the header.
type writer struct{ header http.Header }

func (w *writer) Header() http.Header         { return w.header }
func (w *writer) Write(b []byte) (int, error) { return len(b), nil }
func (w *writer) WriteHeader(int)             {}

type bench struct {
	now state.Instant
	rec *observe.Recorder
	s   *state.Snapshot
}

func newBench() *bench {
	b := &bench{s: snapshot()}
	b.rec = observe.New(func() state.Instant { return b.now }, func() *state.Snapshot { return b.s })
	return b
}

func (b *bench) serve(customer state.CustomerName, outcome callers.Outcome, why message.Refusal, took time.Duration) {
	q := b.rec.Begin(httptest.NewRecorder())
	q.Identify(b.s, customer, "s")
	if why != "" {
		q.Refused(why)
	} else {
		q.Granted("q", "server-1")
	}
	b.now = b.now.Add(took)
	q.Header().Set(callers.HeaderOutcome, string(outcome))
	_, _ = q.Write([]byte("0123456789"))
	b.now = b.now.Add(took)
	q.Done()
	q.End()
}

// Guards against requests that are counted under a wrong outcome or reason, and against a window that never ends.
func TestWindowSlidesAndTotalStays(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.serve("c", callers.OutcomeRan, "", 10*time.Millisecond)
	b.serve("c", callers.OutcomeNotRun, message.RefusedRegion, 0)
	b.serve("c", callers.OutcomeUnknown, observe.ReasonBackend, 0)
	p := b.rec.Summary()
	g.Expect(p.Pairs).To(HaveLen(1))
	w := p.Pairs[0].Window
	g.Expect([]uint64{w.Requests, w.Admitted, w.Ran, w.NotRun, w.Unknown}).To(Equal([]uint64{3, 1, 1, 1, 1}))
	g.Expect(w.Refused).To(Equal([]report.Reason{{Why: "region_limit", Count: 1}}))
	g.Expect(float64(w.FirstByte.Quantile(0.5))).To(BeNumerically("~", 10e6, 10e6*report.MaxError))
	g.Expect(float64(w.Whole.Quantile(0.5))).To(BeNumerically("~", 20e6, 20e6*report.MaxError))
	g.Expect(p.Links[0].Bytes).To(Equal(uint64(10)))
	for range observe.Steps {
		b.now = b.now.Add(observe.Step)
		b.rec.Copy()
	}
	b.serve("d", callers.OutcomeRan, "", time.Millisecond)
	p = b.rec.Summary()
	g.Expect(p.Pairs[0].Window.Requests).To(BeZero())
	g.Expect(p.Pairs[0].Total.Requests).To(Equal(uint64(3)))
	g.Expect(p.Pairs[1].Window.Requests).To(Equal(uint64(1)))
	g.Expect(p.Links[0].Bytes).To(Equal(uint64(10)))
	g.Expect(p.Valid()).To(BeTrue())
}

// Guards against pairs without limit.
func TestPairsAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	for i := range report.MaxPairs + 3 {
		b.serve(state.CustomerName(rune(0x1000+i)), callers.OutcomeRan, "", 0)
	}
	g.Expect(b.rec.Summary().Pairs).To(HaveLen(report.MaxPairs))
	g.Expect(b.rec.Summary().Overflow).To(Equal(uint64(3)))
}

// Guards against decisions that lack what explains them, against a wrong order, and against filters that match too much.
func TestDecisionsExplainNewestFirst(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.serve("c", callers.OutcomeRan, "", time.Millisecond)
	b.serve("c", callers.OutcomeNotRun, message.RefusedLink, 0)
	b.serve("d", callers.OutcomeRan, "", 0)
	all := b.rec.Decisions("", "")
	g.Expect([]state.CustomerName{all[0].Customer, all[1].Customer, all[2].Customer}).To(Equal([]state.CustomerName{"d", "c", "c"}))
	c := b.rec.Decisions("c", "s")
	g.Expect(c).To(HaveLen(2))
	g.Expect(b.rec.Decisions("c", "other")).To(BeEmpty())
	g.Expect(c[0].Refusals).To(Equal([]message.Refusal{message.RefusedLink}))
	g.Expect(c[1].Candidates).To(Equal([]observe.Candidate{
		{Region: "r", AgeMs: -1}, {Region: "q", Running: 4, Queued: 1, Slots: 8, RegionRunning: 9, AgeMs: 0},
	}))
	g.Expect(c[1].Backend).To(Equal(state.BackendName("server-1")))
	g.Expect(c[1].WholeMs).To(Equal(2.0))
	for range 1000 {
		b.serve("c", callers.OutcomeRan, "", 0)
	}
	g.Expect(len(b.rec.Decisions("", ""))).To(Equal(observe.MaxDecisionRate + 1)) // and the refused one
	b.now = b.now.Add(time.Second)
	for range 2 * observe.MaxDecisions {
		b.serve("c", callers.OutcomeRan, "", 0)
		b.now = b.now.Add(20 * time.Millisecond)
	}
	g.Expect(b.rec.Decisions("", "")).To(HaveLen(observe.MaxDecisions))
}

// Guards against data races between requests, copies and readers, and against lost counts.
func TestConcurrentRecording(t *testing.T) {
	g := NewWithT(t)
	s := snapshot()
	rec := observe.New(state.MonotonicClock(), func() *state.Snapshot { return s })
	var work sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	reader := make(chan struct{})
	go func() {
		defer close(reader)
		for ctx.Err() == nil {
			rec.Copy()
			rec.Summary()
			rec.Decisions("", "")
		}
	}()
	for range 4 {
		work.Go(func() {
			for range 500 {
				q := rec.Begin(&writer{make(http.Header)})
				q.Identify(s, "c", "s")
				q.WriteHeader(http.StatusOK)
				q.Done()
				q.End()
			}
		})
	}
	work.Wait()
	stop()
	<-reader
	g.Expect(rec.Summary().Pairs[0].Total.Requests).To(Equal(uint64(2000)))
}

// BenchmarkRecord measures what recording adds to a request; the goal is under 200 ns and no allocation.
func BenchmarkRecord(b *testing.B) {
	s := snapshot()
	rec := observe.New(state.MonotonicClock(), func() *state.Snapshot { return s })
	header := http.Header{callers.HeaderOutcome: []string{string(callers.OutcomeRan)}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		w := &writer{header}
		body := []byte("answer")
		for pb.Next() {
			q := rec.Begin(w)
			q.Identify(s, "c", "s")
			q.Granted("r", "server-1")
			q.WriteHeader(http.StatusOK)
			_, _ = q.Write(body)
			q.Done()
			q.End()
		}
	})
}
