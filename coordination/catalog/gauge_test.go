package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a work time that counts long after it was reported, and against a report that excludes a server or attracts all
// requests to it.
func TestReportedWorkTimeLosesWeightWithItsAge(t *testing.T) {
	g := NewWithT(t)
	at := state.Instant(time.Hour)
	var gauge Gauge
	g.Expect(gauge.Slowness(at)).To(Equal(1.0), "before the first report")
	gauge.ReportSlowness(at, 2.5)
	g.Expect(gauge.Slowness(at)).To(Equal(2.5))
	g.Expect(gauge.Slowness(at.Add(slownessHalfWeightAge))).To(BeNumerically("~", 1.75, 1e-9))
	g.Expect(gauge.Slowness(at.Add(3 * time.Second))).To(BeNumerically("~", 1, 0.01))
	gauge.ReportSlowness(at, 1e9)
	g.Expect(gauge.Slowness(at)).To(Equal(float64(MaxSlowness)))
	gauge.ReportSlowness(at, 0)
	g.Expect(gauge.Slowness(at)).To(BeNumerically("~", MinSlowness, 1e-9))
}
