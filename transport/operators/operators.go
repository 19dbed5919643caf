// Package operators is the operators' HTTP interface of an entry instance. The TLS server that uses its handler requires a
// client certificate with the role operator.
package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
	"azurebridge/protocol/inifile"
	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
	"azurebridge/transport/platform"
)

// Bounds of the interface.
const (
	DumpTimeout      = 2 * time.Second       // longest wait for the control goroutine
	BusyRetry        = 20 * time.Millisecond // wait before an event is offered again after the control goroutine's queue was full
	ChangeTimeout    = 15 * time.Second      // longest time that one change may take
	MaxMergeAttempts = 30                    // attempts to apply a drain or cap while other changes are accepted first
	MergeWait        = 5 * time.Millisecond  // the random wait after attempt n is less than MergeWait << n, at most MaxMergeWait
	MaxMergeWait     = 320 * time.Millisecond
)

// Control is the access to the control goroutine that the interface needs.
type Control interface {
	Offer(ev control.Event) error
	Snapshot() *state.Snapshot
	Now() state.Instant // on the clock that the snapshot's instants are measured with
}

// Manager serves the operators' HTTP interface.
type Manager struct {
	control        Control
	store          *platform.ConfigStore
	app            *iris.Application
	trafficSources TrafficSources
}

// New returns a manager with its routes.
func New(c Control, store *platform.ConfigStore) (*Manager, error) {
	m := &Manager{control: c, store: store, app: iris.New()}
	m.app.Logger().SetLevel("disable")
	m.app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutInterruptHandler)
	m.app.Get(operatorapi.PathConfig, m.serveConfig)
	m.app.Post(operatorapi.PathConfig, m.serveApply)
	m.app.Post(operatorapi.PathDrain, m.serveDrain)
	m.app.Post(operatorapi.PathUndrain, m.serveUndrain)
	m.app.Post(operatorapi.PathCap, m.serveCap)
	m.app.Get(operatorapi.PathStatus, m.serveStatus)
	m.app.Get(operatorapi.PathDump, m.serveDump)
	m.app.Get(operatorapi.PathReport, m.serveReport)
	m.app.Get(operatorapi.PathMetrics, m.serveMetrics)
	return m, errors.Wrap(m.app.Build(), "build operators' interface")
}

// Handler returns the HTTP handler of the interface.
func (m *Manager) Handler() http.Handler { return m.app }

// writeJSON sends v as indented JSON.
func writeJSON(c iris.Context, status int, v any) {
	c.StatusCode(status)
	_ = c.JSON(v, iris.JSON{Indent: "  "}) // the operator may have disconnected
}

// writeError sends an error whose kind and HTTP status follow from the cause of err. An unknown cause is reported as
// ErrorUnavailable.
func writeError(c iris.Context, err error) {
	e := &operatorapi.Error{}
	var problems inifile.Problems
	switch {
	case errors.As(err, &e):
	case errors.As(err, &problems):
		e = &operatorapi.Error{Kind: operatorapi.ErrorInvalid, Message: "the configuration is not valid", Problems: problems}
	case errors.Is(err, platform.ErrUncertain):
		e = &operatorapi.Error{Kind: operatorapi.ErrorUnknown, Message: err.Error()}
	default:
		e = &operatorapi.Error{Kind: operatorapi.ErrorUnavailable, Message: err.Error()}
	}
	status := map[operatorapi.ErrorKind]int{
		operatorapi.ErrorInvalid: http.StatusUnprocessableEntity, operatorapi.ErrorConflict: http.StatusConflict,
		operatorapi.ErrorUnknown: http.StatusGatewayTimeout,
	}[e.Kind]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(c, status, e)
}

// invalidError returns an error of kind ErrorInvalid.
func invalidError(format string, args ...any) error {
	return &operatorapi.Error{Kind: operatorapi.ErrorInvalid, Message: errors.Errorf(format, args...).Error()}
}

// readJSON parses a JSON body of at most limit bytes. Unknown fields are an error.
func readJSON(c iris.Context, limit int64, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalidError("request body: %v", err)
	}
	return nil
}

// author returns the common name of the operator's certificate, or "unauthenticated" if there is none.
func author(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName
	}
	return "unauthenticated"
}

func (m *Manager) serveConfig(c iris.Context) {
	cfg := m.control.Snapshot().Config
	writeJSON(c, http.StatusOK, operatorapi.Config{Revision: cfg.Revision, Author: cfg.Author, Files: planfile.Write(cfg)})
}

func (m *Manager) serveStatus(c iris.Context) {
	d, err := m.Dump(c.Request().Context())
	if err != nil {
		writeError(c, err)
		return
	}
	s := m.control.Snapshot()
	st := operatorapi.Status{
		Instance: d.Self.Name, Region: d.Self.Region, Revision: d.Revision, Author: d.Config.Author, Reader: d.Config.Reader,
		Leaving: d.Leaving, Instances: make(map[string]int), Homes: d.Homes, Loads: d.Loads,
		Drains: s.Config.Drains, Shifts: s.Config.Shifts,
	}
	for _, in := range d.Instances {
		st.Instances[string(in.Status)]++
	}
	writeJSON(c, http.StatusOK, st)
}

// Dump asks the control goroutine for its state. It fails if there is no answer within DumpTimeout.
func (m *Manager) Dump(ctx context.Context) (*control.Dump, error) {
	ctx, cancel := context.WithTimeout(ctx, DumpTimeout)
	defer cancel()
	done := make(chan *control.Dump, 1)
	if err := m.control.Offer(control.Inspect{Done: func(d *control.Dump) { done <- d }}); err != nil {
		return nil, errors.Wrap(err, "dump")
	}
	select {
	case d := <-done:
		return d, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dump: waiting for the control goroutine")
	}
}
