package standin

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

func TestDecodeFaultRejects(t *testing.T) {
	for _, text := range []string{
		``, `{`, `{}`, `{"kind":"typo"}`, `{"kind":"shed","share":2}`, `{"kind":"slow"}`, `{"kind":"shed","server":3}`,
		`{"kind":"shed","selector":"x"}`, `{"kind":"shed","delay_ms":-1}`, `{"kind":"store_outage","mode":"x"}`,
		`{"kind":"shed","mode":"hang"}`, `{"kind":"slow","factor":1e9}`,
	} {
		_, err := DecodeFault([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

// Guards against a panic on malformed input, and against faults outside the bounds that pass validation.
func FuzzDecodeFault(f *testing.F) {
	f.Add([]byte(`{"kind":"slow","factor":10,"server":"search-01"}`))
	f.Add([]byte(`{"kind":"store_outage","mode":"refuse","for_ms":1000}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fault, err := DecodeFault(data)
		if err == nil && (!knownKinds[fault.Kind] || !(fault.Share >= 0 && fault.Share <= 1) || fault.DelayMs < 0 || len(fault.ID) > maxFaultID) {
			t.Fatalf("accepted invalid fault %+v", fault)
		}
	})
}

// Guards against a range that reaches outside the body.
func FuzzParseRange(f *testing.F) {
	f.Add("bytes=0-", int64(10))
	f.Add("bytes=5-7", int64(10))
	f.Add("bytes=+5-", int64(10))
	f.Add("bytes=-5", int64(10))
	f.Fuzz(func(t *testing.T, v string, size int64) {
		if size < 0 {
			return
		}
		first, last, ok := parseRange(v, size)
		if ok && (first < 0 || last >= size || (first < size && last < first)) {
			t.Fatalf("range %q of a body of %d bytes gives %d to %d", v, size, first, last)
		}
	})
}

// Guards against selectors that match other targets, and against a share that is met only on average.
func TestSelectorsAndShares(t *testing.T) {
	g := NewWithT(t)
	s := NewFaults(nil)
	_, err := s.Add(Fault{Kind: Shed, Service: "search", Region: "r1", Share: 0.25})
	g.Expect(err).NotTo(HaveOccurred())
	hits := 0
	for range 100 {
		if _, ok := s.Triggered(Shed, Target{Service: "search", Region: "r1"}); ok {
			hits++
		}
	}
	g.Expect(hits).To(Equal(25))
	for _, other := range []Target{{Service: "search", Region: "r2"}, {Service: "clips", Region: "r1"}, {}} {
		_, ok := s.Triggered(Shed, other)
		g.Expect(ok).To(BeFalse())
	}
	_, ok := s.Triggered(Drain, Target{Service: "search", Region: "r1"})
	g.Expect(ok).To(BeFalse())
	g.Expect(s.Remove("fault-1")).To(Equal(1))
	g.Expect(s.List()).To(BeEmpty())
}

// Guards against an unbounded set of faults.
func TestFaultsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewFaults(nil)
	for range MaxFaults {
		_, err := s.Add(Fault{Kind: Shed})
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := s.Add(Fault{Kind: Shed})
	g.Expect(err).To(MatchError(ErrTooManyFaults))
}

// Guards against a crash that leaves connections open, and against a server that does not restart or restarts with a warm
// cache.
func TestCrashAndReturn(t *testing.T) {
	g := NewWithT(t)
	s := newTestStandin(nil)
	defer s.Close()
	g.Expect(s.Start()).To(Succeed())
	s.Platform.store.CAS(storeapi.CASRequest{Key: "a"})
	get := func() int {
		resp, err := http.Get("http://" + s.nodes[0].address + "/search/x")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	g.Expect(get()).To(Equal(http.StatusOK))
	f, err := s.Faults.Add(Fault{Kind: Crash, Server: "search-1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(get()).To(BeZero())
	s.Faults.Remove(f.ID)
	g.Expect(get()).To(Equal(http.StatusOK))
	g.Expect(s.Report().Backends[0].WarmFactor).To(BeNumerically(">", 1))
}

// Guards against an unresponsive connection that can be noticed: the client receives an answer, or a write of the handler
// fails or blocks.
func TestUnresponsiveConnection(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := net.Pipe()
	n := &node{conns: make(map[*conn]struct{})}
	c := &conn{Conn: ours, node: n, closed: make(chan struct{})}
	g.Expect(n.add(c)).To(BeTrue())
	g.Expect(n.setUnresponsive(&activeFault{Fault: Fault{Kind: Silent}})).To(Equal(1))
	written, err := c.Write([]byte("answer")) // would block if it reached the pipe, which nobody reads
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(written).To(Equal(6))
	done := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		done <- err
	}()
	g.Expect(c.Close()).To(Succeed())
	g.Expect(<-done).To(HaveOccurred())
	g.Expect(n.openConns()).To(BeZero())
	_ = theirs.Close()
}

// Guards against more open connections than the limit of a backend server.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	n := &node{conns: make(map[*conn]struct{}), maxConns: 1}
	first := &conn{node: n}
	g.Expect(n.add(first)).To(BeTrue())
	g.Expect(n.add(&conn{node: n})).To(BeFalse())
	n.remove(first)
	g.Expect(n.add(&conn{node: n})).To(BeTrue())
}

// Guards against a list of instances that shows a change before its lag has passed.
func TestInstanceListLags(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	l := NewInstances([]storeapi.Instance{{Name: "a", Region: "r", CallerAddress: "127.0.0.1:1", Status: StatusLive}}, 2*time.Second, c.now)
	g.Expect(l.Set(storeapi.Instance{Name: "a", Status: StatusLeaving})).To(BeTrue())
	c.advance(time.Second)
	g.Expect(l.List()[0].Status).To(Equal(StatusLive))
	c.advance(time.Second)
	g.Expect(l.List()[0]).To(Equal(storeapi.Instance{Name: "a", Region: "r", CallerAddress: "127.0.0.1:1", Status: StatusLeaving}))
	g.Expect(l.Set(storeapi.Instance{Name: "a", Status: StatusRemoved})).To(BeTrue())
	g.Expect(l.Set(storeapi.Instance{Name: "a", Status: "odd"})).To(BeFalse())
	c.advance(2 * time.Second)
	g.Expect(l.List()).To(BeEmpty())
	_, known := l.Location("127.0.0.1:9")
	g.Expect(known).To(BeTrue(), "the address of a removed instance may still send requests")
}

// Guards against uncounted calls, a store faster than its rates, and a lost reply whose write does not take effect.
func TestStoreRatesAndLostReplies(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	s := newTestStandin(c.now)
	h := s.Platform.Handler()
	call := func(method, path, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	for range 2 { // the burst is a tenth of the rate per second
		g.Expect(call("GET", storeapi.PathGet+"?key=a", "")).To(Equal(http.StatusOK))
	}
	g.Expect(call("GET", storeapi.PathGet+"?key=a", "")).To(Equal(http.StatusTooManyRequests))
	c.advance(50 * time.Millisecond)
	g.Expect(call("GET", storeapi.PathWatch+"?key=a&seen=1", "")).To(Equal(http.StatusOK))
	g.Expect(s.Platform.Calls()).To(Equal(Calls{Reads: 4, Watches: 1, Refused: 1}))

	f, err := s.Faults.Add(Fault{Kind: StoreLostReply})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(func() { call("POST", storeapi.PathCAS, `{"key":"a"}`) }).To(PanicWith(http.ErrAbortHandler))
	g.Expect(s.Platform.store.Get("a").Version).To(Equal(uint64(1)))
	s.Faults.Remove(f.ID)
	_, err = s.Faults.Add(Fault{Kind: StoreOutage})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call("GET", storeapi.PathInstances, "")).To(Equal(http.StatusServiceUnavailable))
}

// Guards against an overshoot that is not counted, and against one that is counted although the excess ended within the
// grace.
func TestOvershootsOfRunning(t *testing.T) {
	for name, c := range map[string]struct {
		lasts time.Duration
		want  int
	}{"shorter than the grace": {19 * time.Millisecond, 0}, "as long as the grace": {20 * time.Millisecond, 1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			k := newClock()
			l := NewLedger(&state.Config{Regions: []state.Region{{Name: "r", MaxRunning: 1}}}, 20*time.Millisecond, k.now)
			l.AddRunning("s", "", "r", 1)
			l.AddRunning("s", "", "r", 1)
			k.advance(c.lasts)
			ongoing := l.Report()
			g.Expect(ongoing.Overshoots()).To(Equal(c.want), "while the excess still lasts")
			l.AddRunning("s", "", "r", -1)
			r := l.Report()
			g.Expect(r.Overshoots()).To(Equal(c.want))
			g.Expect(r.Regions[0].Peak).To(Equal(2))
		})
	}
}

// Guards against bytes of a link that are summed over more than one window, which would count false overshoots.
func TestOvershootsOfLinks(t *testing.T) {
	g := NewWithT(t)
	k := newClock()
	l := NewLedger(&state.Config{Links: []state.Link{{From: "a", To: "b", BytesPerSecond: 1000}}}, 0, k.now)
	l.AddLinkBytes("a", "b", 100)
	k.advance(linkWindow)
	l.AddLinkBytes("a", "b", 100)
	r := l.Report()
	g.Expect(r.Overshoots()).To(BeZero())
	l.AddLinkBytes("a", "b", 1)
	l.AddLinkBytes("a", "b", 1)
	r = l.Report()
	g.Expect(r.Links[0]).To(Equal(LinkUse{From: "a", To: "b", Rate: 1000, Bytes: 202, PeakWindow: 102, Overshoots: 1}))
}

// newTestStandin returns stand-ins with one backend server; now may be nil.
func newTestStandin(now func() time.Time) *Standin {
	if now == nil {
		now = time.Now
	}
	cfg := &settings.Standin{
		Store:    settings.StandinStore{ReadsPerSecond: 20, WritesPerSecond: 20},
		Services: map[string]settings.StandinService{"search": {Size: 100, ColdFactor: 3, WarmRequests: 10}},
	}
	s := New(cfg, &state.Config{
		Services: []state.Service{{Name: "search", Kind: state.KindLookup}},
		Backends: []state.BackendServer{{Name: "search-1", Service: "search", Region: "r", Slots: 1, MaxConnections: 10}},
	}, now)
	for _, n := range append([]*node{s.platform, s.control}, s.nodes...) {
		n.address = "127.0.0.1:0"
	}
	return s
}
