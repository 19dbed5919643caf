package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// accountedRecorder records an answer and has an account in a memory budget.
type accountedRecorder struct {
	*httptest.ResponseRecorder
	account *membudget.Account
}

func (r accountedRecorder) Memory() *membudget.Account { return r.account }

type busyOwner struct{}

func (busyOwner) Stalled() membudget.Stall { return membudget.Stall{} }
func (busyOwner) Evict() bool              { return false }

// post sends a request with a body, whose size is announced unless it is -1, on a connection of the budget.
func (s *fixture) post(budget *membudget.Budget, body io.Reader, announced int64) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://x.example/a", body)
	r.RequestURI, r.ContentLength = "/a", announced
	w := httptest.NewRecorder()
	s.manager.ServeHTTP(accountedRecorder{w, budget.Open(busyOwner{})}, r)
	return w
}

func dialServer(_ *fixture, ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// Guards against large bodies that are buffered beyond the budget, a refusal without the guarantee that nothing has run, small
// requests that are refused with them, and memory that stays reserved.
func TestLargeBodyBeyondTheBudgetIsRefused(t *testing.T) {
	s := newFixture(t, 1, dialServer)
	budget := membudget.New(900<<10, func() state.Instant { return 1 })
	large := strings.Repeat("x", 512<<10)
	for _, announced := range []int64{int64(len(large)), -1} {
		w := s.post(budget, strings.NewReader(large), announced)
		s.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		s.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		s.Expect(w.Header().Get("Connection")).To(Equal("close"), "the rest of the body is not read")
		s.Expect(s.requests()).To(BeEmpty())
	}
	s.Expect(s.manager.Stats.NoMemory.Load()).To(Equal(uint64(2)))
	s.Expect(budget.Stats.Used.Load()).To(BeZero())
	held := budget.Open(busyOwner{}).Hold(false)
	s.Expect(held.Reserve(600 << 10)).To(BeTrue())
	small := strings.Repeat("x", 60<<10)
	s.Expect(s.post(budget, strings.NewReader(small), int64(len(small))).Code).To(Equal(http.StatusOK))
	s.Expect(s.post(budget, http.NoBody, 0).Code).To(Equal(http.StatusOK))
	held.Free()
	s.Expect(budget.Stats.Used.Load()).To(BeZero())
}

// Guards against a body without progress that is reported as anything but a request that has not run.
func TestBodyWithoutProgressIsAnswered408(t *testing.T) {
	s := newFixture(t, 1, dialServer)
	stalled := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(os.ErrDeadlineExceeded))
	s.Expect(s.post(nil, stalled, 100).Code).To(Equal(http.StatusRequestTimeout))
	s.Expect(s.requests()).To(BeEmpty())
	s.Expect(s.manager.Stats.SlowBodies.Load()).To(Equal(uint64(1)))
}
