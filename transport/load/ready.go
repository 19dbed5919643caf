package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurebridge/internal/wait"
	"azurebridge/protocol/callers"
	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
	"azurebridge/transport/standin/content"
)

// readyInterval is the time between checks whether the system is ready.
const readyInterval = 200 * time.Millisecond

// WaitReady waits until each live entry instance answers look-ups with at least one entry instance, which shows that its
// configuration has the customer, and forwards a read request of each service that the mix reads. It fails after the bound with
// the error of one instance.
func (r *Runner) WaitReady(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	probes := r.probes()
	for {
		err := r.checkReady(ctx, probes)
		if err == nil {
			return nil
		}
		if !wait.For(ctx, readyInterval) {
			return errors.Wrapf(err, "not ready after %s", bound)
		}
	}
}

// probes returns one line of the mix for each service that the mix reads.
func (r *Runner) probes() []*settings.MixLine {
	var out []*settings.MixLine
	seen := make(map[string]bool)
	for i := range r.cfg.Mix {
		line := &r.cfg.Mix[i]
		if !line.Submission && !seen[line.Service] {
			seen[line.Service] = true
			out = append(out, line)
		}
	}
	return out
}

// checkReady probes all live entry instances once and returns the error of one that is not ready.
func (r *Runner) checkReady(ctx context.Context, probes []*settings.MixLine) error {
	list, err := r.directory.refresh(ctx)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return errors.New("the list of instances is empty")
	}
	failed := make(chan error, len(list))
	var group sync.WaitGroup
	for i := range list {
		in := &list[i]
		if in.Status != "live" || in.CallerAddress == "" {
			continue
		}
		group.Go(func() {
			if err := r.probe(ctx, in, probes); err != nil {
				failed <- errors.Wrap(err, in.Name)
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// probe checks one entry instance with a look-up and one short read of each service.
func (r *Runner) probe(ctx context.Context, in *storeapi.Instance, probes []*settings.MixLine) error {
	for _, line := range probes {
		c := caller{customer: line.Customers[0], service: line.Service, region: in.Region, client: "ready"}
		reply, err := r.directory.lookUp(ctx, in.CallerAddress, c)
		if err != nil {
			return err
		}
		if len(reply.Entries) == 0 {
			return errors.New("look-up names no entry instance")
		}
		if err := r.readOnce(ctx, in.CallerAddress, line); err != nil {
			return err
		}
	}
	return nil
}

// probeSize is the size of the body that a probe reads, in bytes.
const probeSize = 64

// readOnce reads one body of the line's service through the entry instance at the address and checks it.
func (r *Runner) readOnce(ctx context.Context, address string, line *settings.MixLine) error {
	ctx, cancel := context.WithTimeout(ctx, line.Timeout)
	defer cancel()
	path := "/" + line.Service + "/ready"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?size=%d", address, path, probeSize), nil)
	if err != nil {
		return err
	}
	req.Header.Set(callers.HeaderCustomer, line.Customers[0])
	resp, err := r.sender.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", path, resp.StatusCode)
	}
	if _, check := checkBody(resp, content.New(path, probeSize), 0); check != bodyWhole {
		return errors.Errorf("%s: response is not the requested body", path)
	}
	return nil
}
