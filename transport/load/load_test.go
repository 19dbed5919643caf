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

// passThrough stands in for entry instances: it hands requests to the stand-in backend servers as they are.
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

// outcomeWriter adds the outcome that an entry instance would give.
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

// bench is a runner against stand-ins.
type bench struct {
	*Runner
	standin *standin.Standin
	random  *rand.Rand
}

func newBench(t *testing.T, linkRate int64) *bench {
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
	return &bench{Runner: r, standin: s, random: rand.New(rand.NewPCG(1, 2))}
}

// run makes n requests of each line, one after the other, and returns the report.
func (b *bench) run(g *WithT, n int) *Report {
	ctx := context.Background()
	g.Expect(b.WaitReady(ctx, time.Minute)).To(Succeed())
	before, err := b.ledger(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range b.cfg.Mix {
		for k := range n {
			b.one(ctx, b.order(&b.cfg.Mix[i], "c", "near", uint64(k), b.random), time.Now())
		}
	}
	after, err := b.ledger(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	return b.report(before, after, 1)
}

// Guards against a counter that stays at 0 when the stand-ins break the promise that it counts.
func TestCountersCount(t *testing.T) {
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
			b := newBench(t, 0)
			before := b.run(g, 2)
			g.Expect(before.Clean()).To(BeTrue(), "without the fault")
			g.Expect(before.OK).To(Equal(uint64(4)))
			b.nonce += "-second"
			b.switchOn(g, c.fault)
			for i := range b.cfg.Mix {
				b.one(context.Background(), b.order(&b.cfg.Mix[i], "c", "near", 0, b.random), time.Now())
			}
			ledger, err := b.ledger(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			after := b.report(ledger, ledger, 1)
			g.Expect(c.want(after)).To(Equal(1))
			g.Expect(after.Clean()).To(BeFalse())
		})
	}
}

// switchOn switches a fault on over HTTP, as a schedule does.
func (b *bench) switchOn(g *WithT, fault string) {
	g.Expect(b.control(context.Background(), http.MethodPost, standin.PathFaults, fault, nil)).To(Succeed())
}

// Guards against bytes above the rate of a link that do not count as an overshoot.
func TestCapOvershootsCount(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newBench(t, 1<<40).run(g, 1).CapOvershoots).To(BeZero())
	r := newBench(t, 10000).run(g, 1)
	g.Expect(r.CapOvershoots).To(BeNumerically(">", 0))
	g.Expect(r.Clean()).To(BeFalse())
}

// Guards against a cut body that counts as whole, and against a caller that reads it again from the start.
func TestCutBodyIsResumed(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	g.Expect(b.WaitReady(context.Background(), time.Minute)).To(Succeed())
	b.switchOn(g, `{"kind":"cut_body","share":0.5}`)
	for k := range 2 {
		b.one(context.Background(), b.order(&b.cfg.Mix[0], "c", "near", uint64(k), b.random), time.Now())
	}
	ledger, err := b.ledger(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	r := b.report(ledger, ledger, 1)
	g.Expect(r.OK).To(Equal(uint64(2)))
	g.Expect(r.Cut).To(Equal(uint64(1)))
	g.Expect(r.Resumed).To(Equal(uint64(1)))
	g.Expect(r.Bytes).To(Equal(uint64(2 * b.cfg.Mix[0].Size)))
	g.Expect(r.Clean()).To(BeTrue())
}

// Guards against arrivals that depend on how fast answers come, which would make runs impossible to repeat, and against
// a scheduled fault that is not switched on, or not off.
func TestOpenLoopIsRepeatable(t *testing.T) {
	g := NewWithT(t)
	var counts []uint64
	for range 2 {
		b := newBench(t, 0)
		b.cfg.Duration, b.cfg.Settle, b.cfg.Seed = 50*time.Millisecond, time.Minute, 7
		b.slots = make(chan struct{}, 1000)
		for i := range b.cfg.Mix {
			line := &b.cfg.Mix[i]
			line.PerSecond, line.Regions, line.Keyed, line.Repeat = 400, []string{"near"}, 1, 1
		}
		b.cfg.Faults = []settings.ScheduledFault{
			{Name: "on", JSON: `{"id":"on","kind":"load_lie"}`},
			{Name: "off", Until: time.Millisecond, JSON: `{"id":"off","kind":"load_lie"}`},
		}
		r, err := b.Run(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Requests).To(Equal(r.OK))
		g.Expect(r.Overflow).To(BeZero())
		g.Expect(r.Repeats).To(Equal(r.Services["orders"].Requests))
		g.Expect(r.DuplicateRuns).To(Equal(int(r.Repeats)), "nothing here keeps idempotency keys")
		g.Expect(b.standin.Faults.List()).To(Equal([]standin.Fault{{ID: "on", Kind: standin.LoadLie}}))
		counts = append(counts, r.Requests, r.Repeats)
	}
	g.Expect(counts[0]).To(BeNumerically(">", 0))
	g.Expect(counts[:2]).To(Equal(counts[2:]))
}

// Guards against a refusal that hides an earlier attempt without proof.
func TestTold(t *testing.T) {
	const ran, notRun, unknown = callers.OutcomeRan, callers.OutcomeNotRun, callers.OutcomeUnknown
	for name, c := range map[string]struct {
		told []callers.Outcome
		runs int
		want Verdict
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
			told := NewTold()
			for _, o := range c.told {
				told.Add("x", o)
			}
			runs := map[string][]standin.Run{"x": make([]standin.Run, c.runs)}
			NewWithT(t).Expect(told.Compare(runs)).To(Equal(c.want))
		})
	}
}
