package metastore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
)

// Times of the follower.
const (
	// watchWait is how long the store holds a watch without changes: calls are counted, so long waits are cheap.
	watchWait = 20 * time.Second
	// watchSlack is how much longer than watchWait the call may take.
	watchSlack = 2 * time.Second
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// settle is the pause after changes, so that changes in quick succession cost one call.
	settle = 200 * time.Millisecond
	// firstBackoff and longestBackoff space the calls to a store that does not answer. Refused calls are counted, too.
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
)

// Teller takes the events of the store.
type Teller interface {
	Tell(ctx context.Context, ev catalog.Event)
}

// Follower passes the content of the store and its changes to the control goroutine.
type Follower struct {
	store Store
	to    Teller
	log   hclog.Logger
	Stats FollowerStats
}

// FollowerStats counts the follower's calls.
type FollowerStats struct {
	Lists     atomic.Uint64
	Watches   atomic.Uint64
	Failures  atomic.Uint64
	Compacted atomic.Uint64
}

// NewFollower returns a follower; Run starts it.
func NewFollower(store Store, to Teller, log hclog.Logger) *Follower {
	return &Follower{store: store, to: to, log: log}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	var at Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			at, err = f.list(ctx)
			listed = err == nil
		} else {
			at, err = f.watch(ctx, at)
		}
		switch {
		case err == nil:
			backoff = firstBackoff
		case errors.Is(err, ErrCompacted):
			f.Stats.Compacted.Add(1)
			f.log.Warn("history of the store is gone; listing again", "revision", uint64(at))
			listed = false
		default:
			f.fail(ctx, err)
			if !wait.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, longestBackoff)
		}
	}
}

func (f *Follower) list(ctx context.Context) (Revision, error) {
	f.Stats.Lists.Add(1)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, at, err := f.store.List(ctx)
	if err != nil {
		return 0, err
	}
	f.to.Tell(ctx, catalog.StoreRegained{})
	f.to.Tell(ctx, catalog.Listed{Items: items})
	return at, nil
}

func (f *Follower) watch(ctx context.Context, after Revision) (Revision, error) {
	f.Stats.Watches.Add(1)
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	items, at, err := f.store.Watch(call, after, watchWait)
	if err != nil {
		return after, err
	}
	f.to.Tell(ctx, catalog.StoreRegained{})
	if len(items) > 0 {
		f.to.Tell(ctx, catalog.Changed{Items: items})
		wait.For(ctx, settle)
	}
	return at, nil
}

func (f *Follower) fail(ctx context.Context, err error) {
	f.Stats.Failures.Add(1)
	if ctx.Err() != nil {
		return
	}
	f.log.Warn("store does not answer", "error", err.Error())
	f.to.Tell(ctx, catalog.StoreLost{})
}
