package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/backendconn"
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
	held := budget.Open(busyOwner{}).Hold(membudget.Large)
	s.Expect(held.Reserve(600 << 10)).To(BeTrue())
	small := strings.Repeat("x", 60<<10)
	s.Expect(s.post(budget, strings.NewReader(small), int64(len(small))).Code).To(Equal(http.StatusOK))
	s.Expect(s.post(budget, http.NoBody, 0).Code).To(Equal(http.StatusOK))
	held.Free()
	// The memory of a request that is answered before its body counts as sent is released a moment later.
	s.Eventually(budget.Stats.Used.Load, testTimeout).Should(BeZero())
}

// Guards against a body without progress that is reported as anything but a request that has not run.
func TestBodyWithoutProgressIsAnswered408(t *testing.T) {
	s := newFixture(t, 1, dialServer)
	stalled := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(os.ErrDeadlineExceeded))
	s.Expect(s.post(nil, stalled, 100).Code).To(Equal(http.StatusRequestTimeout))
	s.Expect(s.requests()).To(BeEmpty())
	s.Expect(s.manager.Stats.SlowBodies.Load()).To(Equal(uint64(1)))
}

// brokenWriter fails after the head of the answer, as the connection of a caller that has left.
type brokenWriter struct{ accountedRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against memory that is never released when the caller leaves while a server that has answered early, with an answer that
// is too long to be buffered, still reads the body, and when an answer that is not forwarded ends so.
func TestMemoryIsReleasedAfterAnEarlyLongAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusRequestTimeout} {
		s := newFixture(t, 1, dialServer)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		s.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go answerEarly(ln, status)
		s.useServer(ln.Addr().String())
		budget := membudget.New(64<<20, s.loop.Now)
		const size = 32 << 20
		r := httptest.NewRequest(http.MethodPost, "http://x.example/a", io.LimitReader(zeros{}, size))
		r.RequestURI, r.ContentLength = "/a", size
		func() {
			defer func() { _ = recover() }() // the request may abort its connection
			s.manager.ServeHTTP(brokenWriter{accountedRecorder{httptest.NewRecorder(), budget.Open(busyOwner{})}}, r)
		}()
		s.Eventually(budget.Stats.Used.Load, testTimeout).Should(BeZero(), "status %d", status)
	}
}

// useServer replaces the only server by the one at the address.
func (s *fixture) useServer(address string) {
	b := *s.items[0].Fact.(*routing.Backend)
	b.Address, b.Born = address, 1
	s.items[0].Fact = &b
	s.loop.Send(context.Background(), catalog.Changed{
		After: catalog.Revision{Number: 1}, Revision: catalog.Revision{Number: 2}, Items: []catalog.Item{s.items[0]},
	})
	s.Eventually(func() string { return s.loop.View().Services["svc"].Servers[0].Address }, testTimeout).Should(Equal(address))
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// answerEarly answers each request on the listener before it has read the body, with an answer of more than MaxBuffered bytes, and
// reads nothing more.
func answerEarly(ln net.Listener, status int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			const size = 2 * backendconn.MaxBuffered
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, size, strings.Repeat("y", size))
		}()
	}
}
