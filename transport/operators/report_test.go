package operators_test

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/protocol/operatorapi"
	"azurebridge/state"
	"azurebridge/state/report"
	"azurebridge/transport/observe"
	"azurebridge/transport/operators"
)

// Guards against a report, dump or list of metrics that lacks what the traffic goroutines recorded, and against a dump that
// ignores the filter by customer or a report that ignores the bound of wait.
func TestReportDumpAndMetricsShowTraffic(t *testing.T) {
	g := NewWithT(t)
	c := &directControl{core: control.NewCore(state.Instance{Name: "i", Region: "r", Status: state.InstanceLive})}
	g.Expect(c.Offer(control.Listed{Instances: []state.Instance{{Name: "i", Region: "r", Status: state.InstanceLive}}})).To(Succeed())
	rec := observe.New(c.Now, c.Snapshot)
	c.core.SetReportSource(rec)
	m, err := operators.New(c, nil)
	g.Expect(err).NotTo(HaveOccurred())
	m.SetTrafficSources(operators.TrafficSources{Recorder: rec, Metrics: observe.Registry(map[string]any{"observe": &rec.Stats})})
	for _, customer := range []state.CustomerName{"b", "a"} {
		q := rec.Begin(httptest.NewRecorder())
		q.Identify(c.Snapshot(), customer, "s")
		q.End()
	}
	var r report.Report
	g.Expect(call(t, m.Handler(), operatorapi.PathReport+"?wait=10ms", nil, &r)).To(Equal(200))
	g.Expect(r.Customers).To(HaveLen(2))
	g.Expect(r.Coverage).To(HaveLen(1))
	g.Expect(r.Fleet.Revisions).To(Equal([]report.RevisionCount{{Revision: 0, Instances: 1}}))
	var bad operatorapi.Error
	g.Expect(call(t, m.Handler(), operatorapi.PathReport+"?wait=1h", nil, &bad)).To(Equal(422))

	var dump operators.FullDump
	g.Expect(call(t, m.Handler(), operatorapi.PathDump+"?customer=a", nil, &dump)).To(Equal(200))
	g.Expect(dump.Decisions).To(HaveLen(1))
	g.Expect(dump.Self.Name).To(Equal(state.InstanceName("i")))

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", operatorapi.PathMetrics, nil))
	var names []string
	for _, l := range strings.Split(w.Body.String(), "\n") {
		if name, _, ok := strings.Cut(l, ":"); ok {
			names = append(names, strings.Trim(name, ` "`))
		}
	}
	g.Expect(slices.IsSorted(names)).To(BeTrue())
	g.Expect(names).To(ContainElements("observe.decisions_kept", "control.events", "control.holder.granted", "process.revision"))
}
