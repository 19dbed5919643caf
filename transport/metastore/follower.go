package metastore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/internal/wait"
	"azurebridge/protocol/factwire"
)

// Times of the follower.
const (
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// firstBackoff and longestBackoff space the calls to a store that does not answer. Refused calls are counted, too.
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// askInterval is the time between questions to other instances while the store gives no sign of itself.
	askInterval = 500 * time.Millisecond
	// askTries bounds the instances that are asked in turn: some of them may be turned away by the store, too.
	askTries = 3
	// askTimeout bounds the questions in turn.
	askTimeout = 800 * time.Millisecond
	// behindTime is how long another instance may know a newer revision before the follower lists again: mostly the watch
	// brings it meanwhile, once the pause after earlier changes is over.
	behindTime = settle + 150*time.Millisecond
)

// Reasons to list the store again.
var (
	errAsked  = errors.New("another instance knows a newer revision, or the store was away")
	errMissed = errors.New("the revision has grown without changes")
	errGap    = errors.New("a reader knows changes that it has not relayed")
)

// Teller takes the events of the store.
type Teller interface {
	Tell(ctx context.Context, ev catalog.Event)
}

// Relays gives what other instances, the readers, relay of the store.
type Relays interface {
	// Covered reports whether the relays are complete, so that this instance need not watch the store.
	Covered() bool
	// CoverChanged tells when that may have begun or ended.
	CoverChanged() <-chan struct{}
	// Deltas gives the relayed changes. A reader that has nothing new repeats its revision.
	Deltas() <-chan *factwire.Facts
}

// FollowerOptions are the inputs of a Follower.
type FollowerOptions struct {
	Store Store
	To    Teller
	Wait  func() time.Duration            // how long the next watch waits for changes
	Tell  func(revision catalog.Revision) // told when a listing may have brought more than the watches of others
	// Ask returns what one other instance knows after a revision, and false when it knows nothing more or does not answer. It
	// is called while the store does not answer.
	Ask     func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool)
	Relays  Relays
	Publish func(*factwire.Facts) // told what a call to the store has brought
	Contact *Contact
	Log     hclog.Logger
}

// Follower passes the content of the store and its changes to the control goroutine.
type Follower struct {
	opts  FollowerOptions
	Stats FollowerStats

	tables tables
	at     atomic.Uint64 // revision up to which this instance knows the store
	relist chan struct{} // asks Run to list again
}

// FollowerStats counts the follower's calls.
type FollowerStats struct {
	Lists     atomic.Uint64
	Watches   atomic.Uint64
	Failures  atomic.Uint64
	Compacted atomic.Uint64
	Asked     atomic.Uint64 // listings that another instance gave
	Relayed   atomic.Uint64 // changes that a reader relayed
	Abandoned atomic.Uint64 // watches and relays that may have missed changes
}

// NewFollower returns a follower; Run starts it.
func NewFollower(opts FollowerOptions) *Follower {
	return &Follower{opts: opts, relist: make(chan struct{}, 1)}
}

// Revision returns the revision up to which this instance knows the store.
func (f *Follower) Revision() catalog.Revision { return catalog.Revision(f.at.Load()) }

// Newer tells that another instance knows the store up to a revision. When the watch does not bring it soon, the follower
// lists again.
func (f *Follower) Newer(revision catalog.Revision) {
	if revision <= f.Revision() {
		return
	}
	time.AfterFunc(behindTime, func() {
		if revision <= f.Revision() {
			return
		}
		f.Relist()
	})
}

// Relist asks for a new listing, because the watch under way may hear of nothing any more.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default: // already asked
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	listed, gap := false, false
	for ctx.Err() == nil {
		var err error
		if !listed && f.Revision() > 0 && f.doubtful() {
			listed = f.ask(ctx) // a listing may wait for seconds before it fails
		}
		switch {
		case !listed:
			err = f.list(ctx)
			listed = err == nil
			if listed && !gap { // the readers know what a gap was about
				f.opts.Tell(f.Revision())
			}
			gap = false
		case f.opts.Relays.Covered():
			err = f.relayed(ctx)
		default:
			err = f.watch(ctx)
		}
		switch {
		case err == nil:
			backoff = firstBackoff
		case errors.Is(err, errAsked), errors.Is(err, errMissed), errors.Is(err, errGap):
			f.Stats.Abandoned.Add(1)
			f.opts.Log.Warn("changes may have been missed; listing the store again", "revision", uint64(f.Revision()), "why", err.Error())
			listed, gap = false, errors.Is(err, errGap)
		case errors.Is(err, ErrCompacted):
			f.Stats.Compacted.Add(1)
			f.opts.Log.Warn("history of the store is gone; listing again", "revision", uint64(f.Revision()))
			listed = false
		default:
			f.fail(ctx, err)
			listed = f.ask(ctx) || listed
			if !wait.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, longestBackoff)
		}
	}
}

// doubtful reports whether the store has given no sign of itself for so long that changes may be missing.
func (f *Follower) doubtful() bool { return gossip.TrustFor(f.opts.Contact.Age()) == 0 }

// ask takes what another instance knows. It returns false when none of those that were asked knows anything newer.
func (f *Follower) ask(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for range askTries {
		items, at, ok := f.opts.Ask(call, f.Revision())
		if !ok || at <= f.Revision() {
			continue
		}
		f.Stats.Asked.Add(1)
		f.tables.learn(items)
		f.opts.To.Tell(ctx, catalog.Listed{Source: catalog.FromInstance, Revision: at, Items: items})
		f.at.Store(uint64(at))
		return true
	}
	return false
}

func (f *Follower) list(ctx context.Context) error {
	f.Stats.Lists.Add(1)
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, at, err := f.opts.Store.List(call)
	if err != nil {
		return err
	}
	f.opts.Contact.Mark()
	f.opts.To.Tell(ctx, catalog.StoreRegained{})
	f.tables.learn(items)
	f.opts.To.Tell(ctx, catalog.Listed{Source: catalog.FromListing, Revision: at, Items: items})
	f.opts.Publish(&factwire.Facts{After: at, Revision: at})
	f.at.Store(uint64(at))
	return nil
}

// relayed takes changes from the readers until they no longer cover this instance.
func (f *Follower) relayed(ctx context.Context) error {
	f.opts.Log.Info("readers relay the store's changes", "revision", uint64(f.Revision()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.relist:
			return errAsked
		case <-f.opts.Relays.CoverChanged():
			if !f.opts.Relays.Covered() {
				f.opts.Log.Warn("readers no longer relay the store's changes; watching it", "revision", uint64(f.Revision()))
				return nil
			}
		case d := <-f.opts.Relays.Deltas():
			if err := f.take(ctx, d); err != nil {
				return err
			}
		}
	}
}

// take applies what a reader has relayed. It fails when something before that is missing.
func (f *Follower) take(ctx context.Context, d *factwire.Facts) error {
	if d.Revision <= f.Revision() {
		return nil
	}
	if d.After > f.Revision() {
		return errGap
	}
	items, err := f.tables.expand(d.Items)
	switch {
	case err != nil && d.After < f.Revision():
		f.Newer(d.Revision) // the other reader has divided the changes differently, and is about to relay the rest
		return nil
	case err != nil:
		f.opts.Log.Warn("relayed change of the routing table not applied", "error", err.Error())
		return errGap
	}
	f.Stats.Relayed.Add(1)
	f.opts.To.Tell(ctx, catalog.StoreRegained{})
	f.opts.To.Tell(ctx, catalog.Changed{Source: catalog.FromReader, After: d.After, Revision: d.Revision, Items: items})
	f.at.Store(uint64(d.Revision))
	return nil
}

func (f *Follower) fail(ctx context.Context, err error) {
	f.Stats.Failures.Add(1)
	if ctx.Err() != nil {
		return
	}
	f.opts.Log.Warn("store does not answer", "error", err.Error())
	f.opts.To.Tell(ctx, catalog.StoreLost{})
}
