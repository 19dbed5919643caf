package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/steering"
	"azurebridge/internal/wait"
)

// DefaultLookupWait is how long a stopping instance accepts new requests: until no caller's cached look-up names it, with
// a second for a look-up that was under way.
const DefaultLookupWait = steering.LookupTTL + time.Second

// inFlightPoll is the time between checks for requests that outlive their connection.
const inFlightPoll = 50 * time.Millisecond

// Stop ends the callers' interface without cutting a request in flight (invariant graceful-stop). It accepts new requests
// until the cached look-ups have expired, asking callers to close their connections, and then waits for the requests in
// flight. A positive grace bounds that wait; the requests that are left are then cut and counted in the error.
func (m *Manager) Stop(ctx context.Context, server *http.Server, grace time.Duration) error {
	m.stopping.Store(true)
	wait.For(ctx, m.opts.LookupWait)
	if grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
	}
	err := server.Shutdown(ctx)
	// A submission goes on after its caller has gone, until its outcome is recorded.
	for err == nil && m.Stats.InFlight.Load() > 0 {
		if !wait.For(ctx, inFlightPoll) {
			err = ctx.Err()
		}
	}
	if err != nil {
		left := m.Stats.InFlight.Load()
		_ = server.Close()
		return errors.Wrapf(err, "planned stop: %d requests cut", left)
	}
	return nil
}
