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

// Times of watches.
const (
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 2 * time.Second
	// settle is the pause after changes, so that changes in quick succession cost one call.
	settle = 500 * time.Millisecond
)

// errCovered ends a watch because the readers relay the changes.
var errCovered = errors.New("readers relay the store's changes")

// answer is what a watch has brought.
type answer struct {
	items []catalog.Item
	at    catalog.Revision
	err   error
}

// watch passes on the changes that one call to the store brings.
func (f *Follower) watch(ctx context.Context) error {
	f.Stats.Watches.Add(1)
	after, pause := f.Revision(), f.opts.Wait()
	call, cancel := context.WithTimeout(ctx, pause+watchSlack)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		items, at, err := f.opts.Store.Watch(call, after, pause)
		answers <- answer{items, at, err}
	}()
	a, err := f.await(ctx, answers)
	switch {
	case errors.Is(err, errCovered):
		return nil
	case err != nil:
		return err
	case len(a.items) == 0 && a.at > after:
		return errMissed
	}
	f.opts.Contact.Mark()
	f.opts.To.Tell(ctx, catalog.StoreRegained{})
	if len(a.items) == 0 || a.at <= f.Revision() {
		return nil
	}
	f.opts.To.Tell(ctx, catalog.Changed{Source: catalog.FromWatch, After: after, Revision: a.at, Items: a.items})
	f.opts.Publish(&factwire.Facts{After: after, Revision: a.at, Items: f.tables.abridge(a.items)})
	f.at.Store(uint64(a.at))
	wait.For(ctx, settle)
	return nil
}

// await waits for the answer to a watch until a new listing is asked for or the readers relay the changes again: a watch may wait
// on without hearing of any. While the store gives no sign of itself, other instances are asked for what they know.
func (f *Follower) await(ctx context.Context, answers <-chan answer) (answer, error) {
	doubt := time.NewTimer(gossip.TrustFor(f.opts.Contact.Age()))
	defer doubt.Stop()
	for {
		select {
		case a := <-answers:
			return a, a.err
		case <-f.relist:
			return answer{}, errAsked
		case <-f.opts.Relays.CoverChanged():
			if f.opts.Relays.Covered() {
				return answer{}, errCovered
			}
		case <-doubt.C:
			if f.doubtful() {
				f.ask(ctx)
			}
			doubt.Reset(cmp.Or(gossip.TrustFor(f.opts.Contact.Age()), askInterval))
		}
	}
}
