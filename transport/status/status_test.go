package status

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// Guards against metrics that scrapers cannot read.
func TestMetricsAreInTheTextFormat(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterGauge("front.served", r).Update(7)
	h := metrics.NewHistogram(metrics.NewUniformSample(10))
	h.Update(20)
	g.Expect(r.Register(`request.time_ms{service="svc",end="served"}`, h)).To(Succeed())
	var b bytes.Buffer
	WriteMetrics(&b, r)
	g.Expect(b.String()).To(ContainSubstring("azb_front_served 7\n"))
	g.Expect(b.String()).To(ContainSubstring(`azb_request_time_ms{service="svc",end="served",quantile="0.99"} 20` + "\n"))
	g.Expect(b.String()).To(ContainSubstring(`azb_request_time_ms_count{service="svc",end="served"} 1` + "\n"))
}

// Guards against a dump that is not served.
func TestDumpIsServed(t *testing.T) {
	g := NewWithT(t)
	w := httptest.NewRecorder()
	Handler(metrics.NewRegistry(), func() any { return map[string]int{"Table": 3} }).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/dump", nil))
	g.Expect(w.Body.String()).To(MatchJSON(`{"Table":3}`))
}
