package metastore

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/internal/wait"
	"azurebridge/protocol/factwire"
)

const (
	// watchSlack is how much longer than the requested wait the call of a watch may take.
	watchSlack = 2 * time.Second
	// confirmWait is how long a watch waits after an interrupted one. It shows soon whether changes were missed, and whether the
	// store answers watches at all.
	confirmWait = 50 * time.Millisecond
	// watchPause is the pause after a watch returned changes, so that changes in quick succession cost one call.
	watchPause = 500 * time.Millisecond
)

// errCovered ends a watch because the readers relay the changes.
var errCovered = errors.New("readers relay the store's changes")

// watchResult is the result of one watch call.
type watchResult struct {
	items    []catalog.Item
	revision catalog.Revision
	err      error
}

// watch makes one watch call to the store, and sends and publishes the changes that it returns.
func (f *Follower) watch(ctx context.Context) error {
	f.Stats.Watches.Add(1)
	after, maxWait, slack := f.Revision(), confirmWait, callTimeout
	if f.interrupted == 0 {
		maxWait, slack = f.opts.NextWait(), watchSlack
	}
	call, cancel := context.WithTimeout(ctx, maxWait+slack)
	defer cancel()
	results := make(chan watchResult, 1)
	go func() {
		items, revision, err := f.opts.Store.Watch(call, after, maxWait)
		results <- watchResult{items, revision, err}
	}()
	result, err := f.awaitWatch(ctx, results)
	switch {
	case errors.Is(err, errCovered):
		return nil
	case err != nil:
		return err
	case len(result.items) == 0 && after.Before(result.revision):
		return errMissedChanges
	}
	f.opts.Contact.Mark()
	f.opts.Sink.Send(ctx, catalog.StoreRecovered{})
	if len(result.items) == 0 || !f.Revision().Before(result.revision) {
		return nil
	}
	f.opts.Sink.Send(ctx, catalog.Changed{Source: catalog.FromWatch, After: after, Revision: result.revision, Items: result.items})
	f.opts.Publish(&factwire.Facts{After: after, Revision: result.revision, Items: f.tables.diff(result.items)})
	f.revision.Store(&result.revision)
	wait.For(ctx, watchPause)
	return nil
}

// awaitWatch waits for the result of a watch, which may keep waiting without receiving changes. It therefore returns
// errRelistRequested when a new listing is requested, and errCovered when the readers relay the changes again. While the
// store's last answer is too old, it queries other instances.
func (f *Follower) awaitWatch(ctx context.Context, results <-chan watchResult) (watchResult, error) {
	staleTimer := time.NewTimer(gossip.RemainingTrust(f.opts.Contact.Age()))
	defer staleTimer.Stop()
	for {
		select {
		case result := <-results:
			return result, result.err
		case <-f.relist:
			return watchResult{}, errRelistRequested
		case <-f.opts.Relays.CoverageChanged():
			if f.opts.Relays.Covered() {
				return watchResult{}, errCovered
			}
		case <-staleTimer.C:
			if f.stale() {
				f.ask(ctx)
			}
			staleTimer.Reset(cmp.Or(gossip.RemainingTrust(f.opts.Contact.Age()), askInterval))
		}
	}
}
