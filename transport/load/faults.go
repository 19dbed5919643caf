package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurebridge/internal/wait"
	"azurebridge/protocol/settings"
	"azurebridge/transport/standin"
)

// scheduleFaults starts goroutines that switch the faults of the settings on and off at their times. The returned function
// waits until they have finished and returns the first error.
func (r *Runner) scheduleFaults(ctx context.Context) func() error {
	var group sync.WaitGroup
	failed := make(chan error, len(r.cfg.Faults))
	for i := range r.cfg.Faults {
		f := &r.cfg.Faults[i]
		group.Go(func() {
			if err := r.inject(ctx, f); err != nil {
				failed <- errors.Wrapf(err, "fault %s", f.Name)
			}
		})
	}
	return func() error {
		group.Wait()
		select {
		case err := <-failed:
			return err
		default:
			return nil
		}
	}
}

// inject switches one fault on at f.At and off at f.Until. A fault that would start after the load is not switched on, and one
// without an end is not switched off.
func (r *Runner) inject(ctx context.Context, f *settings.ScheduledFault) error {
	if f.At > r.cfg.Duration || !wait.For(ctx, f.At) {
		return nil
	}
	var added standin.Fault
	if err := r.control(ctx, http.MethodPost, standin.PathFaults, f.JSON, &added); err != nil {
		return err
	}
	r.log.Info("fault on", "name", f.Name, "id", added.ID, "kind", added.Kind)
	if f.Until <= f.At {
		return nil
	}
	wait.For(ctx, f.Until-f.At)
	err := r.control(context.WithoutCancel(ctx), http.MethodDelete, standin.PathFaults+"/"+added.ID, "", nil)
	r.log.Info("fault off", "name", f.Name, "id", added.ID)
	return err
}

// control sends a request to the control address of the stand-ins and decodes the JSON response unless into is nil.
func (r *Runner) control(ctx context.Context, method, path, body string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.cfg.Control.String()+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.sender.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReceipt))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: status %d: %.200s", method, path, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}
