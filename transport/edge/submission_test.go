package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/protocol/callers"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/edge"
	"azurebridge/transport/platform"
	"azurebridge/transport/standin"
)

// Modes of the store that fixture serves.
const (
	storeUp int32 = iota
	storeDown
	storeLosesReplies // writes take effect
)

type noPeers struct{}

func (noPeers) Send(*message.Envelope) {}

// fixture is one entry instance with a stand-in store and two backend servers that share a handler.
type fixture struct {
	*WithT
	url       string
	storeMode atomic.Int32
	mu        sync.Mutex
	calls     []*http.Request // that reached a backend server
	serve     func(n int, w http.ResponseWriter, r *http.Request)
}

func newFixture(t *testing.T, serve func(n int, w http.ResponseWriter, r *http.Request)) *fixture {
	f := &fixture{WithT: NewWithT(t), serve: serve}
	store := standin.NewStore(time.Now).Handler()
	storeServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveStore(store, w, r) }))
	t.Cleanup(storeServer.Close)
	cfg := &state.Config{
		Revision: 1, Regions: []state.Region{{Name: "r", MaxRunning: 100}},
		Services: []state.Service{{Name: "orders", Kind: state.KindSubmission, QueueTimeout: time.Second}},
		Plans: []state.Plan{{Name: "p", Regions: []state.RegionName{"r"}, Services: []state.PlanService{
			{Service: "orders", SharePercent: 100, BurstPercent: 100},
		}}},
		Customers: []state.Customer{{Name: "c", Plan: "p"}},
	}
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(f.serveBackend))
		t.Cleanup(s.Close)
		cfg.Backends = append(cfg.Backends, state.BackendServer{
			Name: state.BackendName(fmt.Sprintf("b%d", i)), Service: "orders", Region: "r", Slots: 4, MaxConnections: 100,
			Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
		})
	}
	log := hclog.NewNullLogger()
	self := state.Instance{Name: "e", Region: "r", Status: state.InstanceLive}
	loop := control.NewLoop(control.NewCore(self), state.MonotonicClock(), noPeers{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client := platform.New(strings.TrimPrefix(storeServer.URL, "http://"))
	claimLog := platform.NewClaimLog(client, loop.Offer, log)
	loop.UseClaimStore(claimLog)
	claimLog.Run(ctx)
	worker := platform.NewWorker(client, loop.Offer)
	loop.UseStore(worker)
	go worker.Run(ctx)
	go loop.Run(ctx)
	f.Expect(loop.Offer(control.Listed{Instances: []state.Instance{self}})).To(Succeed())
	f.Expect(loop.Offer(control.Configured{Config: cfg})).To(Succeed())
	f.Eventually(func() state.Revision { return loop.Snapshot().Config.Revision }).Should(BeEquivalentTo(1))
	server := httptest.NewServer(edge.New(edge.Options{Control: loop, Backends: backend.New(nil), Log: log}))
	t.Cleanup(server.Close)
	f.url = server.URL
	// The instance becomes home of the region after it has written the record of witnesses and its own promise counts.
	f.Eventually(func() string { return f.post("", "warm-up").Outcome }).WithTimeout(electionTimeout).Should(Equal("ran"))
	f.calls = nil
	return f
}

// electionTimeout is far above the duration of the first election, so that the test does not fail on a busy machine.
const electionTimeout = 30 * time.Second

func (f *fixture) serveStore(store http.Handler, w http.ResponseWriter, r *http.Request) {
	mode := f.storeMode.Load()
	if mode == storeDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode == storeLosesReplies && r.URL.Path == storeapi.PathCAS {
		f.storeMode.Store(storeUp)
		store.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	store.ServeHTTP(w, r)
}

func (f *fixture) serveBackend(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	if string(data) == "warm-up" {
		return
	}
	f.mu.Lock()
	f.calls = append(f.calls, r)
	n := len(f.calls)
	f.mu.Unlock()
	f.serve(n, w, r)
}

func (f *fixture) callCount() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.calls) }

type answer struct {
	Status            int
	Outcome, Replayed string
	RetryAfter, Body  string
}

func (f *fixture) post(key, body string) answer {
	a, err := f.postContext(context.Background(), key, body)
	f.Expect(err).NotTo(HaveOccurred())
	return a
}

func (f *fixture) postContext(ctx context.Context, key, body string) (answer, error) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/orders/new", strings.NewReader(body))
	req.Header.Set(callers.HeaderCustomer, "c")
	if key != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return answer{resp.StatusCode, h.Get(callers.HeaderOutcome), h.Get(callers.HeaderReplayed), h.Get("Retry-After"), string(data)}, err
}

func refuseWork(w http.ResponseWriter) {
	w.Header().Set(callers.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func accept(n int, w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(w, "receipt %d", n) }

func abortConnection(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a refused submission being lost, or sent to the server that refused it.
func TestRefusedSubmissionRunsElsewhere(t *testing.T) {
	f := newFixture(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			refuseWork(w)
			return
		}
		accept(n, w, r)
	})
	f.Expect(f.post("k", "x")).To(Equal(answer{Status: 200, Outcome: "ran", Body: "receipt 2"}))
	addr := func(i int) any { return f.calls[i].Context().Value(http.LocalAddrContextKey) }
	f.Expect(addr(0)).NotTo(Equal(addr(1)))
	f.Expect(f.calls[0].Header).NotTo(HaveKey(callers.HeaderIdempotencyKey))
	f.Expect(f.calls[0].Header.Get(callers.HeaderSubmissionKey)).To(Equal("k"))
}

// Guards against a submission being sent again, or answered "not run", after a server may have begun it.
func TestAbortedSubmissionIsUnknown(t *testing.T) {
	for name, serve := range map[string]func(int, http.ResponseWriter, *http.Request){
		"before the header": abortConnection,
		"within the answer": func(_ int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			abortConnection(0, w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, serve)
			f.Expect(f.post("k", "x")).To(And(HaveField("Status", 502), HaveField("Outcome", "unknown")))
			f.Expect(f.post("k", "x")).To(And(HaveField("Status", 409), HaveField("Outcome", "unknown")))
			f.Expect(f.post("", "x")).To(HaveField("Outcome", "unknown"))
			f.Expect(f.callCount()).To(Equal(2))
		})
	}
}

// Guards against a second run of a submission with a repeated key, and against replaying its answer to a different
// submission with that key.
func TestRepeatedKey(t *testing.T) {
	f := newFixture(t, accept)
	f.Expect(f.post("k", "x")).To(HaveField("Body", "receipt 1"))
	f.Expect(f.post("k", "x")).To(Equal(answer{Status: 200, Outcome: "ran", Replayed: "1", Body: "receipt 1"}))
	f.Expect(f.post("k", "y")).To(And(HaveField("Status", 422), HaveField("Outcome", "not-run")))
	f.Expect(f.callCount()).To(Equal(1))
}

// While the store is unavailable, guards against a keyed submission that runs without a record, against losing an answer that
// is already known, and against "not run" for a key that cannot be looked up: an earlier request with it may have run.
func TestKeyedSubmissionsDuringStoreOutage(t *testing.T) {
	f := newFixture(t, accept)
	f.Expect(f.post("known", "x")).To(HaveField("Outcome", "ran"))
	f.Eventually(func() string { return f.post("known", "x").Replayed }).Should(Equal("1"))
	f.storeMode.Store(storeDown)
	f.Expect(f.post("k", "x")).To(And(HaveField("Status", 503), HaveField("Outcome", "unknown"), HaveField("RetryAfter", "1")))
	f.Expect(f.post("known", "x")).To(HaveField("Replayed", "1"))
	f.Expect(f.callCount()).To(Equal(1))
	f.Expect(f.post("", "x")).To(HaveField("Body", "receipt 2"))
	f.storeMode.Store(storeUp)
	f.Eventually(func() string { return f.post("k", "x").Outcome }, "5s").Should(Equal("ran"))
}

// Guards against abandoning a claim whose record was written although the store's reply was lost.
func TestLostStoreReply(t *testing.T) {
	f := newFixture(t, accept)
	f.Expect(f.post("first", "x")).To(HaveField("Outcome", "ran"))
	f.storeMode.Store(storeLosesReplies)
	f.Expect(f.post("k", "x")).To(HaveField("Body", "receipt 2"))
	f.Expect(f.post("k", "x")).To(HaveField("Replayed", "1"))
}

// Guards against losing the outcome of a submission whose caller disconnected.
func TestOutcomeIsRecordedAfterCallerDisconnect(t *testing.T) {
	finish := make(chan struct{})
	started := make(chan struct{})
	f := newFixture(t, func(n int, w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		accept(n, w, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := f.postContext(ctx, "k", "x")
	f.Expect(err).To(MatchError(context.Canceled))
	f.Expect(f.post("k", "x")).To(And(HaveField("Status", 409), HaveField("Outcome", "unknown")))
	close(finish)
	f.Eventually(func() answer { return f.post("k", "x") }, "5s").
		Should(Equal(answer{Status: 200, Outcome: "ran", Replayed: "1", Body: "receipt 1"}))
	f.Expect(f.callCount()).To(Equal(1))
}

// Guards against sending a body again in part: one too large to be buffered is sent to one server only.
func TestLargeSubmissionIsSentOnce(t *testing.T) {
	f := newFixture(t, func(_ int, w http.ResponseWriter, _ *http.Request) { refuseWork(w) })
	f.Expect(f.post("k", strings.Repeat("x", edge.MaxBufferedBody+1))).To(HaveField("Outcome", "not-run"))
	f.Expect(f.callCount()).To(Equal(1))
	f.Expect(f.post("k", strings.Repeat("x", edge.MaxBufferedBody))).To(HaveField("Outcome", "not-run"))
	f.Expect(f.callCount()).To(Equal(3), "a buffered body should be tried at both servers")
}

// Guards against a truncated answer that is taken for a whole one, and recorded as such: without a length or chunks, the end of the
// connection does not tell whether the body is complete.
func TestUnframedAnswerToASubmissionIsUnknown(t *testing.T) {
	f := newFixture(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err) // the server is plain HTTP/1.1
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nreceipt 4") // the client may have left
	})
	a := f.post("key-1", "a donation")
	f.Expect(a.Outcome).To(Equal("unknown"))
	f.Expect(a.Body).NotTo(ContainSubstring("receipt"))
	a = f.post("key-1", "a donation")
	f.Expect(a.Outcome).To(Equal("unknown"), "the recorded outcome is the one that was answered")
	f.Expect(f.callCount()).To(Equal(1))
}

// Guards against a part of a long answer that a caller takes for the whole one, whatever its status, and against recording it as whole.
func TestLongAnswerToASubmissionThatEndsEarlyDoesNotLookComplete(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFixture(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, strings.Repeat("x", 2*message.MaxOutcomeBody)) // the instance may have left
				w.(http.Flusher).Flush()
				time.Sleep(50 * time.Millisecond) // the head has been forwarded
				panic(http.ErrAbortHandler)
			})
			a, err := f.postContext(context.Background(), "key-1", "a donation")
			f.Expect(err).To(HaveOccurred(), "status %d, %d bytes", a.Status, len(a.Body))
			f.Expect(f.post("key-1", "a donation").Outcome).To(Equal("unknown"))
			f.Expect(f.callCount()).To(Equal(1))
		})
	}
}
