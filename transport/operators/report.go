package operators

import (
	"context"
	"net/http"
	"reflect"
	"runtime"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"azurebridge/coordination/control"
	"azurebridge/coordination/reporting"
	"azurebridge/state"
	"azurebridge/state/report"
	"azurebridge/transport/observe"
)

// Bounds of reports.
const (
	ReportWait  = time.Second            // longest wait for the figures of other instances, unless the request sets another
	reportGrace = 500 * time.Millisecond // additional time for the control goroutine to finish the collection
)

// TrafficSources holds what the traffic goroutines record. Either field may be nil.
type TrafficSources struct {
	Recorder *observe.Recorder
	Metrics  metrics.Registry
}

// SetTrafficSources sets the sources of the traffic data in dumps and metrics. It must be called before the first request.
func (m *Manager) SetTrafficSources(sources TrafficSources) { m.trafficSources = sources }

// FullDump holds the control state and the last steering decisions of one instance.
type FullDump struct {
	*control.Dump
	Decisions []observe.Decision `json:"decisions"`
}

// FullDump returns the dump with the decisions for a customer and service. An empty customer or service matches all.
func (m *Manager) FullDump(ctx context.Context, customer state.CustomerName, service state.ServiceName) (*FullDump, error) {
	d, err := m.Dump(ctx)
	if err != nil {
		return nil, err
	}
	full := &FullDump{Dump: d, Decisions: []observe.Decision{}}
	if m.trafficSources.Recorder != nil {
		full.Decisions = m.trafficSources.Recorder.Decisions(customer, service)
	}
	return full, nil
}

func (m *Manager) serveDump(c iris.Context) {
	q := c.Request().URL.Query()
	d, err := m.FullDump(c.Request().Context(), state.CustomerName(q.Get("customer")), state.ServiceName(q.Get("service")))
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, http.StatusOK, d)
}

func (m *Manager) serveReport(c iris.Context) {
	wait := ReportWait
	if text := c.Request().URL.Query().Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > reporting.MaxWait {
			writeError(c, invalidError("wait=%s: must be a positive duration of at most %s", text, reporting.MaxWait))
			return
		}
		wait = d
	}
	r, err := m.Report(c.Request().Context(), wait)
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, http.StatusOK, r)
}

// Report collects the figures of all instances, waiting at most the given time, and builds the report.
func (m *Manager) Report(ctx context.Context, wait time.Duration) (*report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+reportGrace)
	defer cancel()
	type result struct {
		part *report.Part
		err  error
	}
	done := make(chan result, 1)
	ev := control.CollectReport{Wait: wait, Done: func(p *report.Part, err error) { done <- result{p, err} }}
	if err := m.control.Offer(ev); err != nil {
		return nil, errors.Wrap(err, "report")
	}
	select {
	case r := <-done:
		if r.err != nil {
			return nil, errors.Wrap(r.err, "report")
		}
		s := m.control.Snapshot()
		return report.Build(s, r.part, m.control.Now(), time.Now()), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "report: waiting for the control goroutine")
	}
}

// serveMetrics responds with all counters of the instance, sorted by name.
func (m *Manager) serveMetrics(c iris.Context) {
	d, err := m.Dump(c.Request().Context())
	if err != nil {
		writeError(c, err)
		return
	}
	registry := m.trafficSources.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	observe.SetGauges(registry, "control", reflect.ValueOf(d.Stats))
	observe.SetGauges(registry, "rollout", reflect.ValueOf(d.Config.Stats))
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	metrics.GetOrRegisterGauge("process.goroutines", registry).Update(int64(runtime.NumGoroutine()))
	metrics.GetOrRegisterGauge("process.heap_bytes", registry).Update(int64(mem.HeapAlloc))
	metrics.GetOrRegisterGauge("process.revision", registry).Update(int64(d.Revision))
	writeJSON(c, http.StatusOK, observe.Values(registry))
}
