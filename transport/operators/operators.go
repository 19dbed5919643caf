// Package operators is the operators' HTTP interface of an entry instance.
package operators

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
)

// DumpTimeout bounds the wait for the control goroutine to write a dump.
const DumpTimeout = 2 * time.Second

// Control is what the interface needs of the control goroutine.
type Control interface {
	Offer(ev control.Event) error
}

// Manager answers operators.
type Manager struct {
	control Control
	app     *iris.Application
}

// New returns a manager with its routes.
func New(c Control) (*Manager, error) {
	m := &Manager{control: c, app: iris.New()}
	m.app.Logger().SetLevel("disable")
	m.app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutInterruptHandler)
	m.app.Get("/v1/dump", m.serveDump)
	return m, errors.Wrap(m.app.Build(), "build operators' interface")
}

// Handler returns the HTTP handler of the interface.
func (m *Manager) Handler() http.Handler { return m.app }

func (m *Manager) serveDump(c iris.Context) {
	d, err := m.Dump(c.Request().Context())
	if err != nil {
		c.StopWithError(http.StatusServiceUnavailable, err)
		return
	}
	_ = c.JSON(d, iris.JSON{Indent: "  "}) // the operator may be gone
}

// Dump asks the control goroutine for its state.
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
