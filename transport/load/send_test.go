package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/callers"
	"azurebridge/protocol/settings"
)

// Guards against a caller that abandons a keyed submission as unknown while an earlier request with its key is still running,
// and against one that retries an invalid request.
func TestRefusalStatesWhetherToRetry(t *testing.T) {
	for _, c := range []struct {
		status  int
		outcome callers.Outcome
		retry   bool
	}{
		{http.StatusConflict, callers.OutcomeUnknown, true},
		{http.StatusConflict, callers.OutcomeNotRun, false},
		{http.StatusUnprocessableEntity, callers.OutcomeNotRun, false},
		{http.StatusTooManyRequests, callers.OutcomeNotRun, true},
		{http.StatusServiceUnavailable, callers.OutcomeUnknown, true},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}, Body: http.NoBody}
		resp.Header.Set(callers.HeaderOutcome, string(c.outcome))
		NewWithT(t).Expect(classifyErrorResponse(resp, true).retry).To(Equal(c.retry), strings.ToLower(http.StatusText(c.status)))
	}
}

// Guards against an error answer that ends early and is counted as one, with what it says of its request.
func TestErrorAnswerThatEndsEarlyIsNone(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut %t", cut), func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(callers.HeaderOutcome, string(callers.OutcomeNotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "a part of the body")
				w.(http.Flusher).Flush()
				if cut {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			s := &sender{http: server.Client(), stats: &Stats{}}
			c := &call{line: &settings.MixLine{Service: "orders", Submission: true, Timeout: 10 * time.Second}, id: "s-1"}
			a := s.submit(context.Background(), strings.TrimPrefix(server.URL, "http://"), c)
			if cut {
				g.Expect(a.result).To(Equal(resultUnknown))
				g.Expect(a.retry).To(BeFalse(), "the submission has no key")
				g.Expect(s.stats.Cut.Load()).To(BeEquivalentTo(1))
				return
			}
			g.Expect(a.result).To(Equal(resultNotRun))
			g.Expect(s.stats.Cut.Load()).To(BeZero())
		})
	}
}
