// Package status serves an instance's metrics and state to operators: counters and latency summaries in the text format of
// Prometheus, and a dump of the state as JSON.
package status

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles of the latency summaries.
var quantiles = []float64{0.5, 0.9, 0.99}

// Handler serves /metrics from the registry and /dump from the function.
func Handler(registry metrics.Registry, dump func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		WriteMetrics(w, registry)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := WriteDump(w, dump()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	return mux
}

// WriteDump writes a state as indented JSON.
func WriteDump(w io.Writer, state any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(state)
}

// WriteMetrics writes the gauges and histograms of the registry. Their names there are group.name, or group.name{label="value"}
// for one of several series. Errors of out are ignored: the client may have disconnected.
func WriteMetrics(out io.Writer, registry metrics.Registry) {
	w := bufio.NewWriter(out)
	registry.Each(func(name string, v any) {
		base, labels, _ := strings.Cut(name, "{")
		base = "azb_" + strings.ReplaceAll(base, ".", "_")
		labels = strings.TrimSuffix(labels, "}")
		switch m := v.(type) {
		case metrics.Gauge:
			fmt.Fprintf(w, "%s%s %d\n", base, formatLabels(labels), m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for i, value := range s.Percentiles(quantiles) {
				fmt.Fprintf(w, "%s%s %g\n", base, formatLabels(labels, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), value)
			}
			fmt.Fprintf(w, "%s_sum%s %d\n%s_count%s %d\n", base, formatLabels(labels), s.Sum(), base, formatLabels(labels), s.Count())
		}
	})
	w.Flush()
}

// formatLabels returns the non-empty labels in braces, separated by commas, or "" when there are none.
func formatLabels(labels ...string) string {
	var nonEmpty []string
	for _, l := range labels {
		if l != "" {
			nonEmpty = append(nonEmpty, l)
		}
	}
	if len(nonEmpty) == 0 {
		return ""
	}
	return "{" + strings.Join(nonEmpty, ",") + "}"
}
