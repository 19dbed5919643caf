package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/backendconn"
)

// testTimeout is how long a test waits for something that happens within milliseconds.
const testTimeout = 10 * time.Second

// plainDialect treats every answer as signed by the server.
type plainDialect struct{}

func (plainDialect) Identify(http.Header) Caller { return Caller{RequestID: "r-1"} }

func (plainDialect) SetServer(http.Header, state.BackendName, time.Duration) {}

func (plainDialect) SetCustomer(http.Header, state.CustomerName) {}

func (plainDialect) Challenge(http.Header) {}

func (plainDialect) Inspect(http.Header, int) backendconn.Marks {
	return backendconn.Marks{Signed: true}
}

// fixture is a Manager with backend servers that record the requests they get.
type fixture struct {
	*WithT
	loop    *catalog.Loop
	manager *Manager
	items   []catalog.Item // of the servers, and the routing table as the last one

	mu       sync.Mutex
	received []string      // names of servers, one for each request
	headers  []http.Header // of those requests
}

// newStartingFixture starts n servers of one service, and a Manager that opens connections to them with dial. The instance has
// no routing table yet.
func newStartingFixture(t *testing.T, n int, dial func(s *fixture, ctx context.Context, network, address string) (net.Conn, error)) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &fixture{WithT: NewWithT(t)}
	for i := range n {
		name := string(rune('a' + i))
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.received = append(s.received, name)
			s.headers = append(s.headers, r.Header)
		}))
		t.Cleanup(server.Close)
		s.items = append(s.items, catalog.Item{Key: name, Fact: &routing.Backend{
			Name: state.BackendName(name), Service: "svc", Address: strings.TrimPrefix(server.URL, "http://"), Region: "north", Slots: 4,
		}})
	}
	s.loop = catalog.NewLoop(catalog.NewCore(catalog.Options{}), state.MonotonicClock(), func(catalog.LogEntry) {})
	go s.loop.Run(ctx)
	table := &routing.Table{Version: 1, Routes: []routing.Route{{
		Name: "write", Host: "x.example", Prefix: "/", Timeout: testTimeout, MaxAttempts: 2, Parts: []routing.Part{{Service: "svc", Weight: 1}},
	}}}
	table.Index()
	s.items = append(s.items, catalog.Item{Key: "table", Fact: table})
	s.manager = New(Options{
		Loop: s.loop, Dialect: plainDialect{}, Region: "north", Retry: quota.RetryLimit{Ratio: 1, Extra: 10, Window: time.Second}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Pool: backendconn.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(s, ctx, network, address)
		}),
		TableWait: testTimeout,
	})
	return s
}

// newFixture returns a fixture whose instance knows the routing table and the servers.
func newFixture(t *testing.T, n int, dial func(s *fixture, ctx context.Context, network, address string) (net.Conn, error)) *fixture {
	t.Helper()
	s := newStartingFixture(t, n, dial)
	s.list()
	s.Eventually(func() *routing.Table { return s.loop.View().Table }, testTimeout).ShouldNot(BeNil())
	return s
}

// list gives the instance the routing table and the servers.
func (s *fixture) list() {
	s.loop.Send(context.Background(), catalog.Listed{Revision: catalog.Revision{Number: 1}, Items: s.items})
}

// drain marks the servers with the given addresses as draining, and waits until they get no new requests.
func (s *fixture) drain(addresses ...string) {
	change := catalog.Changed{After: catalog.Revision{Number: 1}, Revision: catalog.Revision{Number: 2}}
	for _, it := range s.items {
		if server, ok := it.Fact.(*routing.Backend); ok && slices.Contains(addresses, server.Address) {
			b := *server
			b.Draining = true
			change.Items = append(change.Items, catalog.Item{Key: it.Key, Fact: &b})
		}
	}
	s.loop.Send(context.Background(), change)
	s.Eventually(func() int { return len(s.loop.View().Services["svc"].Servers) }, testTimeout).Should(Equal(len(s.items) - 1 - len(addresses)))
}

// addressOf returns the address of a server by its name.
func (s *fixture) addressOf(name string) string {
	i := slices.IndexFunc(s.items, func(it catalog.Item) bool { return it.Key == name })
	return s.items[i].Fact.(*routing.Backend).Address
}

// requests returns the names of the servers that got requests.
func (s *fixture) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func (s *fixture) send() int {
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", nil)
	r.RequestURI = "/a"
	w := httptest.NewRecorder()
	s.manager.ServeHTTP(w, r)
	return w.Code
}

// Guards against sending a request to a server that left while the connection to it was being opened.
func TestServerThatLeavesWhileItsConnectionOpensGetsNoRequest(t *testing.T) {
	var drained string
	s := newFixture(t, 2, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		if drained == "" {
			drained = address
			s.drain(address)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	s.Expect(s.send()).To(Equal(http.StatusOK))
	s.Expect(s.requests()).To(HaveLen(1))
	s.Expect(s.addressOf(s.requests()[0])).NotTo(Equal(drained))
}

// Guards against a retry that chooses its server by an outdated view: after a failed dial, the request must not be sent to a
// server that left meanwhile.
func TestRetryAfterFailedDialUsesTheNewestView(t *testing.T) {
	const n = 12
	var dialed []string
	s := newFixture(t, n, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		if len(dialed) > 1 {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		var others []string
		for _, it := range s.items {
			if other, ok := it.Fact.(*routing.Backend); ok && other.Address != address {
				others = append(others, other.Address)
			}
		}
		s.drain(others[1:]...)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	s.Expect(s.send()).To(Equal(http.StatusOK))
	s.Expect(dialed).To(HaveLen(2), "servers that have left must not be dialed")
	s.Expect(s.requests()).To(HaveLen(1))
	s.Expect(s.addressOf(s.requests()[0])).To(Equal(dialed[1]))
	s.Expect(s.loop.View().Server("svc", state.BackendName(s.requests()[0]))).NotTo(BeNil())
}

// Guards against a request that is sent after its caller has left, because it must not be cancelled once it has been sent: the
// caller leaves while the connection to the server is being opened.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	s := newFixture(t, 2, func(_ *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		leave()
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", nil).WithContext(left)
	r.RequestURI = "/a"
	s.Expect(func() { s.manager.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
	s.Expect(s.requests()).To(BeEmpty())
	s.Expect(s.manager.Stats.Left.Load()).To(Equal(uint64(1)))
}

// Guards against refusing the requests that reach an instance in the first moments after its start: their callers return much
// later than the routing table arrives.
func TestRequestWaitsForTheFirstTable(t *testing.T) {
	s := newStartingFixture(t, 1, func(_ *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	status := make(chan int, 1)
	go func() { status <- s.send() }()
	s.Eventually(s.manager.tableWaiters.Load, testTimeout).Should(Equal(int64(1)))
	s.list()
	s.Eventually(status, testTimeout).Should(Receive(Equal(http.StatusOK)))
	s.Expect(s.manager.tableWaiters.Load()).To(BeZero())
}

// Guards against a crowd of requests that waits without bound for a table that does not come.
func TestRequestsThatWaitForATableAreBounded(t *testing.T) {
	s := newStartingFixture(t, 1, nil)
	s.manager.tableWaiters.Store(maxTableWaiters)
	s.Expect(s.send()).To(Equal(http.StatusServiceUnavailable))
}
