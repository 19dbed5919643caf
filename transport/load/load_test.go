package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/protocol/callers"
	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
	"azurebridge/transport/standin"
)

// passThrough stands in for entry instances: it forwards requests unchanged to the stand-in backend servers.
type passThrough struct{ backends *standin.Standin }

func (p *passThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == callers.PathLookup {
		reply := callers.LookupReply{TTLSeconds: 5, Entries: []callers.Entry{{Name: "a", Address: r.Host}, {Name: "b", Address: r.Host}}}
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	p.backends.Handler(service+"-1").ServeHTTP(&outcomeWriter{w}, r)
}

// outcomeWriter adds the outcome header that an entry instance would set.
type outcomeWriter struct{ http.ResponseWriter }

func (w *outcomeWriter) WriteHeader(status int) {
	o := callers.OutcomeRan
	if w.Header().Get(callers.HeaderNotRun) != "" {
		o = callers.OutcomeNotRun
	}
	w.Header().Set(callers.HeaderOutcome, string(o))
	w.ResponseWriter.WriteHeader(status)
}

func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// fixture is a runner with the stand-ins that it sends requests to.
type fixture struct {
	*Runner
	standin *standin.Standin
	random  *rand.Rand
}

func newFixture(t *testing.T, linkRate int64) *fixture {
	entry := &passThrough{}
	server := httptest.NewServer(entry)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	cfg := &settings.Standin{
		Store:     settings.StandinStore{ReadsPerSecond: 1000, WritesPerSecond: 1000},
		Services:  map[string]settings.StandinService{"search": {}, "orders": {}},
		Instances: []storeapi.Instance{{Name: "a", Region: "near", Domain: "near-a", CallerAddress: address, Status: "live"}},
	}
	s := standin.New(cfg, &state.Config{
		Services: []state.Service{{Name: "search", Kind: state.KindLookup}, {Name: "orders", Kind: state.KindSubmission}},
		Links:    []state.Link{{From: "far", To: "near", BytesPerSecond: linkRate}},
		Backends: []state.BackendServer{
			{Name: "search-1", Service: "search", Region: "far", Slots: 10}, {Name: "orders-1", Service: "orders", Region: "far", Slots: 10},
		},
	}, time.Now)
	entry.backends = s
	platform, control := httptest.NewServer(s.Platform.Handler()), httptest.NewServer(s.Control())
	t.Cleanup(platform.Close)
	t.Cleanup(control.Close)
	r := New(&settings.Load{
		Platform: netip.MustParseAddrPort(platform.Listener.Addr().String()), Control: netip.MustParseAddrPort(control.Listener.Addr().String()),
		MaxInFlight: 1,
		Mix: []settings.MixLine{
			{Name: "read", Customers: []string{"c"}, Service: "search", Size: 100000, Items: 10, Clients: 2, Timeout: time.Minute},
			{Name: "write", Customers: []string{"c"}, Service: "orders", Size: 100, Items: 1, Clients: 2, Timeout: time.Minute, Submission: true},
		},
	}, hclog.NewNullLogger())
	return &fixture{Runner: r, standin: s, random: rand.New(rand.NewPCG(1, 2))}
}

// run sends n requests of each line, one after the other, and returns the report.
func (f *fixture) run(g *WithT, n int) *Report {
	ctx := context.Background()
	g.Expect(f.WaitReady(ctx, time.Minute)).To(Succeed())
	before, err := f.ledger(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range f.cfg.Mix {
		for k := range n {
			f.execute(ctx, f.newCall(&f.cfg.Mix[i], "c", "near", uint64(k), f.random), time.Now())
		}
	}
	after, err := f.ledger(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	return f.report(before, after, 1)
}

// Guards against a counter of violations that stays at 0 although a fault of the stand-ins causes the violation that it counts.
func TestViolationsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		fault string
		want  func(r *Report) int
	}{
		"wrong_body":         {`{"kind":"wrong_body","service":"search"}`, func(r *Report) int { return int(r.WrongBody) }},
		"truncated_as_whole": {`{"kind":"truncate"}`, func(r *Report) int { return int(r.TruncatedWhole) }},
		"duplicate_runs":     {`{"kind":"run_twice"}`, func(r *Report) int { return r.DuplicateRuns }},
		"false_not_run":      {`{"kind":"false_not_run"}`, func(r *Report) int { return r.FalseNotRun }},
		"lost_accepted":      {`{"kind":"lose_accepted"}`, func(r *Report) int { return r.LostAccepted }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, 0)
			before := f.run(g, 2)
			g.Expect(before.Clean()).To(BeTrue(), "without the fault")
			g.Expect(before.OK).To(Equal(uint64(4)))
			f.nonce += "-second"
			f.injectFault(g, c.fault)
			for i := range f.cfg.Mix {
				f.execute(context.Background(), f.newCall(&f.cfg.Mix[i], "c", "near", 0, f.random), time.Now())
			}
			ledger, err := f.ledger(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			after := f.report(ledger, ledger, 1)
			g.Expect(c.want(after)).To(Equal(1))
			g.Expect(after.Clean()).To(BeFalse())
		})
	}
}

// injectFault switches a fault on over HTTP, like the fault schedule.
func (f *fixture) injectFault(g *WithT, fault string) {
	g.Expect(f.control(context.Background(), http.MethodPost, standin.PathFaults, fault, nil)).To(Succeed())
}

// Guards against transfers above the rate of a link that are not counted as an overshoot.
func TestLinkOvershootsAreCounted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newFixture(t, 1<<40).run(g, 1).CapOvershoots).To(BeZero())
	r := newFixture(t, 10000).run(g, 1)
	g.Expect(r.CapOvershoots).To(BeNumerically(">", 0))
	g.Expect(r.Clean()).To(BeFalse())
}

// Guards against an aborted body that is counted as complete, and against a caller that then reads the body from the start
// instead of the missing rest.
func TestAbortedBodyIsResumed(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 0)
	g.Expect(f.WaitReady(context.Background(), time.Minute)).To(Succeed())
	f.injectFault(g, `{"kind":"cut_body","share":0.5}`)
	for k := range 2 {
		f.execute(context.Background(), f.newCall(&f.cfg.Mix[0], "c", "near", uint64(k), f.random), time.Now())
	}
	ledger, err := f.ledger(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	r := f.report(ledger, ledger, 1)
	g.Expect(r.OK).To(Equal(uint64(2)))
	g.Expect(r.Cut).To(Equal(uint64(1)))
	g.Expect(r.Resumed).To(Equal(uint64(1)))
	g.Expect(r.Bytes).To(Equal(uint64(2 * f.cfg.Mix[0].Size)))
	g.Expect(r.Clean()).To(BeTrue())
}

// Guards against arrivals that depend on the response times, which would make runs impossible to repeat, and against a
// scheduled fault that is not switched on or off.
func TestOpenLoopIsRepeatable(t *testing.T) {
	g := NewWithT(t)
	var counts []uint64
	for range 2 {
		f := newFixture(t, 0)
		f.cfg.Duration, f.cfg.Settle, f.cfg.Seed = 50*time.Millisecond, time.Minute, 7
		f.slots = make(chan struct{}, 1000)
		for i := range f.cfg.Mix {
			line := &f.cfg.Mix[i]
			line.PerSecond, line.Regions, line.Keyed, line.Repeat = 400, []string{"near"}, 1, 1
		}
		f.cfg.Faults = []settings.ScheduledFault{
			{Name: "on", JSON: `{"id":"on","kind":"load_lie"}`},
			{Name: "off", Until: time.Millisecond, JSON: `{"id":"off","kind":"load_lie"}`},
		}
		r, err := f.Run(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Requests).To(Equal(r.OK))
		g.Expect(r.Overflow).To(BeZero())
		g.Expect(r.Repeats).To(Equal(r.Services["orders"].Requests))
		g.Expect(r.DuplicateRuns).To(Equal(int(r.Repeats)), "passThrough does not deduplicate by idempotency key")
		g.Expect(f.standin.Faults.List()).To(Equal([]standin.Fault{{ID: "on", Kind: standin.LoadLie}}))
		counts = append(counts, r.Requests, r.Repeats)
	}
	g.Expect(counts[0]).To(BeNumerically(">", 0))
	g.Expect(counts[:2]).To(Equal(counts[2:]))
}

// Guards against a refusal that replaces the unknown outcome of another attempt and so causes a wrong false_not_run, and
// against duplicate, falsely refused or lost submissions that are not counted.
func TestOutcomeLogCompare(t *testing.T) {
	const ran, notRun, unknown = callers.OutcomeRan, callers.OutcomeNotRun, callers.OutcomeUnknown
	for name, c := range map[string]struct {
		outcomes []callers.Outcome
		runs     int
		want     Verdict
	}{
		"ran once":                     {[]callers.Outcome{ran}, 1, Verdict{}},
		"refused, then ran":            {[]callers.Outcome{notRun, ran}, 1, Verdict{}},
		"refused":                      {[]callers.Outcome{notRun, notRun}, 0, Verdict{}},
		"refused, but ran":             {[]callers.Outcome{notRun, notRun}, 1, Verdict{FalseNotRun: 1}},
		"unknown, then refused, ran":   {[]callers.Outcome{unknown, notRun}, 1, Verdict{}},
		"refused, then unknown, ran":   {[]callers.Outcome{notRun, unknown}, 1, Verdict{}},
		"unknown, did not run":         {[]callers.Outcome{unknown}, 0, Verdict{}},
		"ran twice":                    {[]callers.Outcome{ran, ran}, 2, Verdict{DuplicateRuns: 1}},
		"accepted and lost":            {[]callers.Outcome{ran, notRun}, 0, Verdict{LostAccepted: 1}},
		"refused, but ran three times": {[]callers.Outcome{notRun}, 3, Verdict{DuplicateRuns: 1, FalseNotRun: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			log := NewOutcomeLog()
			for _, o := range c.outcomes {
				log.Add("x", o)
			}
			runs := map[string][]standin.Run{"x": make([]standin.Run, c.runs)}
			NewWithT(t).Expect(log.Compare(runs)).To(Equal(c.want))
		})
	}
}
