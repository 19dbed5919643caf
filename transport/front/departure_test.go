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

// plainDialect takes every answer as the server's own.
type plainDialect struct{}

func (plainDialect) Identify(http.Header) Caller { return Caller{RequestID: "r-1"} }

func (plainDialect) Address(http.Header, state.BackendName, time.Duration) {}

func (plainDialect) Inspect(http.Header, int) backendconn.Marks {
	return backendconn.Marks{Signed: true}
}

// steered is a manager with backend servers that note the requests they get.
type steered struct {
	*WithT
	loop    *catalog.Loop
	manager *Manager
	items   []catalog.Item // of the servers

	mu  sync.Mutex
	got []string // names of servers, one for each request
}

// newSteered starts n servers of one service, and a manager that reaches them by dial.
func newSteered(t *testing.T, n int, dial func(s *steered, ctx context.Context, network, address string) (net.Conn, error)) *steered {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &steered{WithT: NewWithT(t)}
	for i := range n {
		name := string(rune('a' + i))
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.got = append(s.got, name)
		}))
		t.Cleanup(server.Close)
		s.items = append(s.items, catalog.Item{Key: name, Fact: &routing.Backend{
			Name: state.BackendName(name), Service: "svc", Address: strings.TrimPrefix(server.URL, "http://"), Region: "north", Slots: 4,
		}})
	}
	s.loop = catalog.NewLoop(catalog.NewCore(catalog.Options{}), state.MonotonicClock(), func(catalog.Note) {})
	go s.loop.Run(ctx)
	table := &routing.Table{Version: 1, Routes: []routing.Route{{
		Name: "write", Host: "x.example", Prefix: "/", Timeout: patience, MaxAttempts: 2, Parts: []routing.Part{{Service: "svc", Weight: 1}},
	}}}
	table.Index()
	s.loop.Tell(ctx, catalog.Listed{Revision: 1, Items: append([]catalog.Item{{Key: "table", Fact: table}}, s.items...)})
	s.Eventually(func() *routing.Table { return s.loop.View().Table }, patience).ShouldNot(BeNil())
	s.manager = New(Options{
		Loop: s.loop, Dialect: plainDialect{}, Region: "north", Retry: quota.RetryLimit{Ratio: 1, Extra: 10, Window: time.Second}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Pool: backendconn.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(s, ctx, network, address)
		}),
	})
	return s
}

// leave tells that servers drain, by their addresses, and waits until no new request may be placed there.
func (s *steered) leave(addresses ...string) {
	change := catalog.Changed{After: 1, Revision: 2}
	for _, it := range s.items {
		if b := *it.Fact.(*routing.Backend); slices.Contains(addresses, b.Address) {
			b.Draining = true
			change.Items = append(change.Items, catalog.Item{Key: it.Key, Fact: &b})
		}
	}
	s.loop.Tell(context.Background(), change)
	s.Eventually(func() int { return len(s.loop.View().Services["svc"].Servers) }, patience).Should(Equal(len(s.items) - len(addresses)))
}

// addressOf returns the address of a server by its name.
func (s *steered) addressOf(name string) string {
	i := slices.IndexFunc(s.items, func(it catalog.Item) bool { return it.Key == name })
	return s.items[i].Fact.(*routing.Backend).Address
}

// requests returns the names of the servers that got requests.
func (s *steered) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}

func (s *steered) send() int {
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", nil)
	r.RequestURI = "/a"
	w := httptest.NewRecorder()
	s.manager.ServeHTTP(w, r)
	return w.Code
}

// Guards against a request that reaches a server which has left while the connection to it was opened.
func TestServerThatLeavesWhileItsConnectionOpensGetsNoRequest(t *testing.T) {
	var left string
	s := newSteered(t, 2, func(s *steered, ctx context.Context, network, address string) (net.Conn, error) {
		if left == "" {
			left = address
			s.leave(address)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	s.Expect(s.send()).To(Equal(http.StatusOK))
	s.Expect(s.requests()).To(HaveLen(1))
	s.Expect(s.addressOf(s.requests()[0])).NotTo(Equal(left))
}

// Guards against a request that goes by an old view from a connection that did not open to a server which has left meanwhile.
func TestFailedDialIsFollowedByAChoiceFromTheNewestView(t *testing.T) {
	const n = 12
	var dialed []string
	s := newSteered(t, n, func(s *steered, ctx context.Context, network, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		if len(dialed) > 1 {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		var others []string
		for _, it := range s.items {
			if other := it.Fact.(*routing.Backend).Address; other != address {
				others = append(others, other)
			}
		}
		s.leave(others[1:]...)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	s.Expect(s.send()).To(Equal(http.StatusOK))
	s.Expect(dialed).To(HaveLen(2), "servers that have left are not even dialed")
	s.Expect(s.requests()).To(HaveLen(1))
	s.Expect(s.addressOf(s.requests()[0])).To(Equal(dialed[1]))
	s.Expect(s.loop.View().Server("svc", state.BackendName(s.requests()[0]))).NotTo(BeNil())
}
