package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/steering"
	"azurebridge/internal/wait"
)

// DefaultLookupWait is how long a stopping instance accepts new requests: until all cached look-ups that list it have
// expired, plus one second for look-ups in progress.
const DefaultLookupWait = steering.LookupTTL + time.Second

// inFlightPollInterval is the time between checks for requests that outlive their connection.
const inFlightPollInterval = 50 * time.Millisecond

// Stop shuts down the callers' interface without aborting a request in flight (invariant graceful-stop). Until the cached
// look-ups have expired, it accepts new requests and asks callers to close their connections; then it waits for the requests
// in flight. A positive grace limits that wait; requests that still run are then aborted and counted in the error.
func (m *Manager) Stop(ctx context.Context, server *http.Server, grace time.Duration) error {
	m.stopping.Store(true)
	wait.For(ctx, m.opts.LookupWait)
	if grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
	}
	err := server.Shutdown(ctx)
	// A submission continues after its caller has disconnected, until its outcome is recorded.
	for err == nil && m.Stats.InFlight.Load() > 0 {
		if !wait.For(ctx, inFlightPollInterval) {
			err = ctx.Err()
		}
	}
	if err != nil {
		left := m.Stats.InFlight.Load()
		_ = server.Close()
		return errors.Wrapf(err, "planned stop: %d requests aborted", left)
	}
	return nil
}
