package reportview_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/reportview"
	"azurebridge/state"
	"azurebridge/state/report"
)

var update = flag.Bool("update", false, "write the golden files")

// newSample returns a report with the given number of customers, taken at the given second.
func newSample(customers, second int) *report.Report {
	allowed, running, reserved := 12, 9, int64(200e6)
	achieved := func(p50, p99 float64, n uint64) report.Achieved {
		q := report.Quantiles{Count: n, P50: p50, P95: p50 + (p99-p50)*0.6, P99: p99}
		return report.Achieved{Seconds: 60, Requests: n, Admitted: n, Ran: n, FirstByte: q, Whole: q}
	}
	r := &report.Report{
		Time: time.Date(2026, 12, 4, 8, 0, second, 0, time.UTC), Instance: "entry-01", Region: "mazowsze", Revision: 7,
		Coverage: []report.CoverageRow{
			{Region: "mazowsze", Collector: "entry-01", Asked: 7, Answered: 7, AgeMs: 4},
			{Region: "pomorze", Collector: "entry-05", Asked: 6, Answered: 5, Missing: []state.InstanceName{"entry-11"}, MissingCount: 1, AgeMs: 41.2},
		},
		Regions: []report.RegionRow{
			{Region: "mazowsze", Home: "entry-01", Epoch: 3, AgeMs: 90, Slots: 96, MaxRunning: 76, Running: 30 + second, Headroom: 46 - second,
				Services: []report.ServiceRow{{Service: "search", Slots: 40, Running: 30 + second, Headroom: 10, Queued: 3}, {Service: "tapes", Slots: 56, Running: 0, Headroom: 56}}},
			{Region: "pomorze", MaxRunning: 76, AgeMs: -1, Services: []report.ServiceRow{}},
		},
		Links:  []report.LinkRow{{From: "mazowsze", To: "pomorze", Capacity: 5e8, Reserved: &reserved, Used: 1e8, Headroom: 3e8}},
		Shifts: []report.ShiftRow{{Shift: "evening", From: "pomorze", To: "mazowsze", Cap: 20, Ramp: 2, Allowed: &allowed, Running: &running}},
		Fleet: report.Fleet{Statuses: []report.StatusCount{{Status: "live", Instances: 12}, {Status: "leaving", Instances: 1}},
			Revisions: []report.RevisionCount{{Revision: 6, Instances: 1}, {Revision: 7, Instances: 11}}},
	}
	if second > 3 {
		r.Drains = []report.DrainRow{{Kind: "backend", Name: "search-03"}}
	}
	r.Services = []report.ServiceTotal{{Service: "clips", Measure: report.MeasureFirstByte, Window: achieved(4, 25.5, 321)}}
	for i := range customers {
		name := state.CustomerName(fmt.Sprintf("customer-%02d", i))
		row := report.CustomerRow{Customer: name, Plan: "class", Service: "search", Measure: report.MeasureWhole, PromisedMs: 300, Verdict: report.PromiseKept, Window: achieved(9, 40+float64(7*i), 1234)}
		clips := report.CustomerRow{Customer: name, Plan: "class", Service: "clips", Measure: report.MeasureFirstByte, PromisedMs: 20, Verdict: report.PromiseMissed, Window: achieved(4, 25.5+float64(second), 321)}
		clips.Window.Refused = []report.Reason{{Why: "queue_timeout", Count: 4}, {Why: "region_limit", Count: 2}}
		clips.Window.Unknown = 1
		r.Customers = append(r.Customers, row, clips)
	}
	return r
}

func compareGolden(t *testing.T, name string, got []byte) {
	g := NewWithT(t)
	path := "testdata/" + name
	if *update {
		g.Expect(os.WriteFile(path, got, 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(string(want)))
}

// Guards against tables that are wider than 100 columns, and against JSON names that change.
func TestTextAndJSON(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	g.Expect(reportview.Text(&b, newSample(1, 4))).To(Succeed())
	for _, l := range strings.Split(b.String(), "\n") {
		g.Expect(len(l)).To(BeNumerically("<=", 100), l)
	}
	compareGolden(t, "report.txt", b.Bytes())
	data, err := json.MarshalIndent(newSample(1, 4), "", " ")
	g.Expect(err).NotTo(HaveOccurred())
	compareGolden(t, "report.json", append(data, '\n'))
}

// Guards against a page that loads external resources, lacks a customer or does not mark the start of a drain.
func TestPageIsSelfContained(t *testing.T) {
	g := NewWithT(t)
	var samples []*report.Report
	for s := range 8 {
		samples = append(samples, newSample(40, s))
	}
	var b bytes.Buffer
	g.Expect(reportview.HTML(&b, samples)).To(Succeed())
	text := b.String()
	for i := range 40 {
		g.Expect(text).To(ContainSubstring("customer-%02d search", i))
	}
	g.Expect(text).To(ContainSubstring("drain of backend search-03 begins"))
	g.Expect(text).To(ContainSubstring("40 of 80"))
	for _, outside := range []string{"src=", "href=\"http", "@import", "url(", "<script", "<?xml"} {
		g.Expect(text).NotTo(ContainSubstring(outside))
	}
	if path := os.Getenv("REPORT_PAGE"); path != "" { // to view the page in a browser
		g.Expect(os.WriteFile(path, b.Bytes(), 0o644)).To(Succeed())
	}
}

// Guards against entry instances that link the chart library, which only azb-ctl needs.
func TestEntryInstanceLinksNoCharts(t *testing.T) {
	g := NewWithT(t)
	deps, err := exec.Command("go", "list", "-deps", "azurebridge/cmd/azb-entry").Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(deps)).To(ContainSubstring("azurebridge/transport/edge"))
	g.Expect(string(deps)).NotTo(ContainSubstring("gonum.org"))
	g.Expect(string(deps)).NotTo(ContainSubstring("reportview"))
}
