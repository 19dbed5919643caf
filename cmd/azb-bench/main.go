// Command azb-bench compares policies for choosing a backend server on a virtual clock and prints their figures.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"azurebridge/coordination/admission/policybench"
)

var cli struct {
	Seed     uint64        `default:"1" help:"Seed of arrivals, service times and message delays."`
	Duration time.Duration `default:"60s" help:"Virtual time of one run."`
	Mean     time.Duration `default:"20ms" help:"Mean service time."`
}

// line is the JSON form of a figure.
type line struct {
	Name     string   `json:"name"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Bound    *float64 `json:"bound"` // null for a figure that has no bound and is only for comparison
	Baseline float64  `json:"baseline"`
	OK       bool     `json:"ok"`
}

func main() {
	k := kong.Parse(&cli, kong.Name("azb-bench"), kong.Description("Compares policies for choosing a backend server."))
	sc := policybench.Target()
	sc.Seed, sc.Duration, sc.Mean = cli.Seed, cli.Duration, cli.Mean
	rep := policybench.Measure(sc)
	k.FatalIfErrorf(printRows(rep))
	out := json.NewEncoder(os.Stdout)
	missed := 0
	for _, f := range rep.Figures {
		if !f.OK {
			missed++
		}
		bound := &f.Bound
		if f.Unbounded {
			bound = nil
		}
		k.FatalIfErrorf(out.Encode(line{f.Name, f.Unit, f.Value, bound, f.Baseline, f.OK}))
	}
	if missed > 0 {
		k.Fatalf("%d of %d figures miss their bounds", missed, len(rep.Figures))
	}
}

func printRows(rep *policybench.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tpolicy\tp50 ms\tp99 ms\twait p99 ms\tshed %\tbeyond slots")
	for _, r := range rep.Rows {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%d\n", r.Scenario, r.Policy, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.WaitP99), 100*r.ShedShare, r.PeakExcess)
	}
	return w.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
