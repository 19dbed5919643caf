package load

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/callers"
)

// Guards against a caller that gives a keyed submission up, as unknown, while an earlier request with its key still runs,
// and against one that repeats a request which is itself at fault.
func TestRefusalTellsWhetherToRepeat(t *testing.T) {
	for _, c := range []struct {
		status  int
		outcome callers.Outcome
		again   bool
	}{
		{http.StatusConflict, callers.OutcomeUnknown, true},
		{http.StatusConflict, callers.OutcomeNotRun, false},
		{http.StatusUnprocessableEntity, callers.OutcomeNotRun, false},
		{http.StatusTooManyRequests, callers.OutcomeNotRun, true},
		{http.StatusServiceUnavailable, callers.OutcomeUnknown, true},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}, Body: http.NoBody}
		resp.Header.Set(callers.HeaderOutcome, string(c.outcome))
		NewWithT(t).Expect(refusal(resp, true).again).To(Equal(c.again), strings.ToLower(http.StatusText(c.status)))
	}
}
