package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurebridge/state"
)

const (
	maxSeries   = 256   // times of further combinations of labels are recorded under "other"
	sampleSize  = 64    // times from which the quantiles of a series are estimated
	sampleAlpha = 0.015 // alpha of the exponentially decaying sample: a higher value gives recent times more weight
)

// latencies holds one histogram of times in milliseconds for each metric name, service and label.
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
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		l.series[key] = h
		labels := "{service=" + strconv.Quote(string(key.service)) + "," + labelName + "=" + strconv.Quote(key.label) + "}"
		if err := l.registry.Register(name+labels, h); err != nil {
			return // the registry already has a series of this name and retains that one
		}
	}
	h.Update(took.Milliseconds())
}
