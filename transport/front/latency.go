package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurebridge/state"
)

// Bounds of the latency summaries.
const (
	maxSeries  = 256 // further combinations of labels are counted as "other"
	sampleSize = 64  // answers from which the quantiles of a series are estimated
	sampleBias = 0.015
)

// latencies keeps one summary of times in milliseconds for each service and end of a request.
type latencies struct {
	registry metrics.Registry
	mu       sync.Mutex
	series   map[seriesKey]metrics.Histogram
}

type seriesKey struct {
	name    string
	service state.ServiceName
	label   string
}

func newLatencies(registry metrics.Registry) *latencies {
	return &latencies{registry: registry, series: make(map[seriesKey]metrics.Histogram)}
}

// observe records a time. label is the value of the series' second label, which labelName names.
func (l *latencies) observe(name string, service state.ServiceName, labelName, label string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := seriesKey{name, service, label}
	h := l.series[key]
	if h == nil && len(l.series) >= maxSeries {
		key = seriesKey{name, "other", "other"}
		h = l.series[key]
	}
	if h == nil {
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias))
		l.series[key] = h
		labels := "{service=" + strconv.Quote(string(key.service)) + "," + labelName + "=" + strconv.Quote(key.label) + "}"
		if err := l.registry.Register(name+labels, h); err != nil {
			return // the series exists under this name already and is kept
		}
	}
	h.Update(took.Milliseconds())
}
