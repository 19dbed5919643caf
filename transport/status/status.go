// Package status serves what an instance counts and knows to operators: counters and latency summaries in the text format
// of Prometheus, and a dump of the state as JSON.
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

// WriteMetrics writes the registry. Names are group.name, or group.name{label="value"} for one of several series; a reader
// that has left is not told of errors.
func WriteMetrics(out io.Writer, registry metrics.Registry) {
	w := bufio.NewWriter(out)
	registry.Each(func(name string, v any) {
		base, labels, _ := strings.Cut(name, "{")
		base = "azb_" + strings.ReplaceAll(base, ".", "_")
		labels = strings.TrimSuffix(labels, "}")
		switch m := v.(type) {
		case metrics.Gauge:
			fmt.Fprintf(w, "%s%s %d\n", base, braces(labels), m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for i, value := range s.Percentiles(quantiles) {
				fmt.Fprintf(w, "%s%s %g\n", base, braces(labels, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), value)
			}
			fmt.Fprintf(w, "%s_sum%s %d\n%s_count%s %d\n", base, braces(labels), s.Sum(), base, braces(labels), s.Count())
		}
	})
	w.Flush()
}

// braces joins labels that are not empty.
func braces(labels ...string) string {
	var kept []string
	for _, l := range labels {
		if l != "" {
			kept = append(kept, l)
		}
	}
	if len(kept) == 0 {
		return ""
	}
	return "{" + strings.Join(kept, ",") + "}"
}
