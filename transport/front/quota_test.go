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
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// large is a customer with a quota.
var large = &routing.Customer{Name: "large", Quota: routing.Quota{Rate: 1}}

// limitCustomers puts quotas into force.
func (s *fixture) limitCustomers() {
	s.loop.Send(context.Background(), catalog.Limits{Customers: quota.CustomerBound{Window: 5 * time.Second}})
	s.Eventually(func() time.Duration { return s.loop.View().Customers.Window }, testTimeout).ShouldNot(BeZero())
}

// serveAs serves a request of a customer.
func (s *fixture) serveAs(customer *routing.Customer) *httptest.ResponseRecorder {
	return s.serveWith(customer, func(*request) {})
}

// serveWith is as serveAs, and calls prepare with the request before it is served.
func (s *fixture) serveWith(customer *routing.Customer, prepare func(*request)) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", nil)
	r.RequestURI = "/a"
	view := s.loop.View()
	q := &request{
		m: s.manager, w: w, r: r, view: view, arrived: s.loop.Now(), caller: Caller{RequestID: "r-1"}, customer: customer, identified: view.Table,
	}
	prepare(q)
	s.Expect(q.match()).To(BeTrue())
	q.service = "svc"
	if q.admitQuota() {
		q.forward()
	}
	return w
}

func dialDirectly(_ *fixture, ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Guards against a request over its customer's quota that reaches a server, a refusal without the time to return, and a quota for
// requests that belong to no customer.
func TestRequestOverTheQuotaIsRefused(t *testing.T) {
	for _, c := range []struct {
		customer *routing.Customer
		admitted bool
		want     int
	}{
		{large, false, http.StatusTooManyRequests},
		{large, true, http.StatusOK},
		{nil, false, http.StatusOK},
		{&routing.Customer{Name: "free"}, false, http.StatusOK},
	} {
		s := newFixture(t, 1, dialDirectly)
		s.limitCustomers()
		s.manager.opts.Admit = func(_ context.Context, _ *routing.Customer, wait time.Duration) quota.Decision {
			s.Expect(wait).To(BeNumerically("<=", maxQuotaWait))
			return quota.Decision{Admitted: c.admitted, RetryAfter: 1500 * time.Millisecond}
		}
		w := s.serveAs(c.customer)
		s.Expect(w.Code).To(Equal(c.want))
		if c.want == http.StatusOK {
			s.Expect(s.requests()).To(HaveLen(1))
			continue
		}
		s.Expect(w.Header().Get("Retry-After")).To(Equal("1.50"))
		s.Expect(s.requests()).To(BeEmpty())
		s.Expect(s.manager.Stats.OverQuota.Load()).To(Equal(uint64(1)))
	}
}

// Guards against requests that the instance sends again beyond a quota: each further try that may count needs a permit of its own.
func TestRepeatedRequestNeedsAFurtherPermit(t *testing.T) {
	for _, permits := range []int{1, 2} {
		dials := 0
		s := newStartingFixture(t, 2, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				return dialDirectly(s, ctx, network, address)
			}
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 1024)) // the request may have run
				far.Close()
			}()
			return near, nil
		})
		s.items[len(s.items)-1].Fact.(*routing.Table).Routes[0].Idempotent = true
		s.list()
		s.Eventually(func() *routing.Table { return s.loop.View().Table }, testTimeout).ShouldNot(BeNil())
		s.limitCustomers()
		s.manager.ApplyRetryLimit(quota.RetryLimit{Ratio: 10, Window: time.Second})
		asked := 0
		s.manager.opts.Admit = func(context.Context, *routing.Customer, time.Duration) quota.Decision {
			asked++
			return quota.Decision{Admitted: asked <= permits}
		}
		w := s.serveAs(large)
		s.Expect(asked).To(Equal(2))
		if permits == 2 {
			s.Expect(w.Code).To(Equal(http.StatusOK))
			s.Expect(s.requests()).To(HaveLen(1))
		} else {
			s.Expect(w.Code).To(Equal(http.StatusBadGateway), "the request may have run")
			s.Expect(s.requests()).To(BeEmpty())
		}
	}
}

// Guards against a permit that is lost with a request which no server could take.
func TestPermitOfARequestThatHasNotRunIsReturned(t *testing.T) {
	s := newFixture(t, 0, dialDirectly)
	s.limitCustomers()
	const until = state.Instant(time.Hour)
	s.manager.opts.Admit = func(context.Context, *routing.Customer, time.Duration) quota.Decision {
		return quota.Decision{Admitted: true, Until: until}
	}
	var returned []state.Instant
	s.manager.opts.ReturnPermit = func(_ *routing.Customer, until state.Instant) { returned = append(returned, until) }
	s.Expect(s.serveAs(large).Code).To(Equal(http.StatusServiceUnavailable))
	s.Expect(returned).To(Equal([]state.Instant{until}))
}

// Guards against a request that reaches a server long after its permit was issued, in another window: once its connection is open, it
// needs a further permit.
func TestRequestWithALatePermitTakesAnother(t *testing.T) {
	dials := 0
	var q *request
	s := newFixture(t, 2, func(s *fixture, ctx context.Context, network, address string) (net.Conn, error) {
		if dials++; dials == 1 {
			q.admitted = q.admitted.Add(-quota.MaxTransit) // as if the connection had opened that much later
		}
		return dialDirectly(s, ctx, network, address)
	})
	s.limitCustomers()
	asked := 0
	s.manager.opts.Admit = func(context.Context, *routing.Customer, time.Duration) quota.Decision {
		asked++
		return quota.Decision{Admitted: true}
	}
	s.Expect(s.serveWith(large, func(served *request) { q = served }).Code).To(Equal(http.StatusOK))
	s.Expect(asked).To(Equal(2))
	s.Expect(s.requests()).To(HaveLen(1))
	s.Expect(s.manager.Stats.LatePermits.Load()).To(Equal(uint64(1)))
}
