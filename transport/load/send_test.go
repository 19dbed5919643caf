package load

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/callers"
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
