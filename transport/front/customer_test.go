package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Headers of keyDialect: the key that a caller sends, and the customer's name for servers.
const (
	testKeyHeader  = "X-Key"
	testNameHeader = "X-Name"
)

// keyDialect is plainDialect with customers.
type keyDialect struct{ plainDialect }

func (keyDialect) Identify(h http.Header) Caller {
	key := h.Get(testKeyHeader)
	return Caller{RequestID: "r-1", Key: routing.Digest(key), HasKey: key != ""}
}

func (keyDialect) SetCustomer(h http.Header, name state.CustomerName) {
	h.Del(testKeyHeader)
	h.Set(testNameHeader, string(name))
}

// putCustomers puts a table with customers into force, which have a key each and may use the given regions.
func (s *fixture) putCustomers(keys map[state.CustomerName]string, regions ...state.RegionName) {
	v := s.loop.View()
	table := &routing.Table{Version: v.Table.Version + 1, Routes: v.Table.Routes}
	for name, key := range keys {
		table.Customers = append(table.Customers, routing.Customer{Name: name, Keys: []routing.KeyDigest{routing.Digest(key)}, Regions: regions})
	}
	table.Index()
	next := catalog.Revision{Number: v.Revision.Number + 1}
	s.loop.Send(context.Background(), catalog.Changed{After: v.Revision, Revision: next, Items: []catalog.Item{{Key: "table", Fact: table}}})
	s.Eventually(func() routing.Version { return s.loop.View().Table.Version }, testTimeout).Should(Equal(table.Version))
}

// sendKey sends a request with a key.
func (s *fixture) sendKey(key string) int {
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", nil)
	r.RequestURI = "/a"
	r.Header.Set(testKeyHeader, key)
	w := httptest.NewRecorder()
	s.manager.ServeHTTP(w, r)
	return w.Code
}

// newCustomerFixture returns a fixture whose table has the customer "alice" with the key "a". change is called while the first
// connection to a server opens.
func newCustomerFixture(t *testing.T, n int, change func(s *fixture)) *fixture {
	t.Helper()
	opened := false
	s := newFixture(t, n, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		if !opened {
			opened = true
			change(s)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	s.manager.opts.Dialect = keyDialect{}
	s.putCustomers(map[state.CustomerName]string{"alice": "a"})
	return s
}

// Guards against a request that is sent although its key was removed while the connection to the server was being opened.
func TestKeyRemovedWhileTheConnectionOpens(t *testing.T) {
	s := newCustomerFixture(t, 2, func(s *fixture) { s.putCustomers(map[state.CustomerName]string{"bob": "b"}) })
	s.Expect(s.sendKey("a")).To(Equal(http.StatusUnauthorized))
	s.Expect(s.requests()).To(BeEmpty())
	s.Expect(s.manager.Stats.NoKey.Load()).To(BeEquivalentTo(1))
	s.Expect(s.sendKey("b")).To(Equal(http.StatusOK))
}

// Guards against a request that runs under the name of a customer that no longer has its key.
func TestKeyOfAnotherCustomerWhileTheConnectionOpens(t *testing.T) {
	s := newCustomerFixture(t, 2, func(s *fixture) { s.putCustomers(map[state.CustomerName]string{"bob": "a"}) })
	s.Expect(s.sendKey("a")).To(Equal(http.StatusOK))
	s.Expect(s.headers).To(HaveLen(1))
	s.Expect(s.headers[0].Get(testNameHeader)).To(Equal("bob"))
}

// Guards against a request at a server of a region that its customer was barred from while the connection was being opened.
func TestCustomerBarredFromARegionWhileTheConnectionOpens(t *testing.T) {
	s := newCustomerFixture(t, 2, func(s *fixture) {
		s.putCustomers(map[state.CustomerName]string{"alice": "a"}, "south")
	})
	s.Expect(s.sendKey("a")).To(Equal(http.StatusServiceUnavailable))
	s.Expect(s.requests()).To(BeEmpty())
}

// Guards against a key that is sent to a server because the first table with customers came into force while the connection was
// being opened, and against a request without a known key that is sent then.
func TestFirstCustomersWhileTheConnectionOpens(t *testing.T) {
	for key, want := range map[string]int{"a": http.StatusOK, "b": http.StatusUnauthorized} {
		s := newFixture(t, 2, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
			if len(s.loop.View().Table.Customers) == 0 {
				s.putCustomers(map[state.CustomerName]string{"alice": "a"})
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		})
		s.manager.opts.Dialect = keyDialect{}
		s.Expect(s.sendKey(key)).To(Equal(want))
		for _, h := range s.headers {
			s.Expect(h).NotTo(HaveKey(testKeyHeader))
			s.Expect(h.Get(testNameHeader)).To(Equal("alice"))
		}
	}
}

// Guards against an answer 401, for which callers do not return, by an instance that has no routing table yet.
func TestInstanceWithoutTableDoesNotRejectKeys(t *testing.T) {
	s := newStartingFixture(t, 1, nil)
	s.manager.opts.Dialect = keyDialect{}
	s.manager.tableWaiters.Store(maxTableWaiters) // does not wait
	for _, key := range []string{"", "a"} {
		s.Expect(s.sendKey(key)).To(Equal(http.StatusServiceUnavailable))
	}
	s.Expect(s.manager.Stats.NoKey.Load()).To(BeZero())
}

// Guards against a request with a key that is sent although the instance's knowledge has become too old while the connection to the
// server was being opened.
func TestKnowledgeTooOldWhileTheConnectionOpens(t *testing.T) {
	const bound = 100 * time.Millisecond
	s := newCustomerFixture(t, 2, func(*fixture) { time.Sleep(bound) })
	s.loop.Send(context.Background(), catalog.Verified{At: s.loop.Now(), Revision: s.loop.View().Revision})
	s.Eventually(func() state.Instant { return s.loop.View().VerifiedAt }, testTimeout).ShouldNot(BeZero())
	s.manager.ApplyMaxKeyAge(bound)
	s.Expect(s.sendKey("a")).To(Equal(http.StatusServiceUnavailable))
	s.Expect(s.requests()).To(BeEmpty())
	s.Expect(s.manager.Stats.Unproved.Load()).To(BeEquivalentTo(1))
	s.manager.ApplyMaxKeyAge(0)
	s.Expect(s.sendKey("a")).To(Equal(http.StatusOK))
}
