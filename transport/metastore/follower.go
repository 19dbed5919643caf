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

const (
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause between calls to a store that does not answer. The store counts
	// rejected calls as calls, too.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// askInterval is the time between queries of other instances while the store does not answer.
	askInterval = 500 * time.Millisecond
	// askTries is the max number of instances queried in turn: the store may reject some of them, too.
	askTries = 3
	// askTimeout bounds all queries of one turn together.
	askTimeout = 800 * time.Millisecond
	// relistDelay is how long another instance may know a newer revision before the follower lists again. Usually the watch
	// returns the changes within this time, once the pause after earlier changes is over.
	relistDelay = watchPause + 150*time.Millisecond
	// maxInterrupted is the number of watches in a row without an answer after which the store is listed: it may answer no watch
	// at all.
	maxInterrupted = 2
)

// Reasons to list the store again.
var (
	errRelistRequested = errors.New("another instance knows a newer revision, or the store was unavailable")
	errMissedChanges   = errors.New("the revision has grown, but the watch returned no changes")
	errRelayGap        = errors.New("a reader knows changes that it has not relayed")
)

// EventSink receives the events of the store.
type EventSink interface {
	// Send delivers an event.
	Send(ctx context.Context, ev catalog.Event)
}

// RelaySource provides the changes that readers relay. A reader is an instance that watches the store and relays its changes
// to others.
type RelaySource interface {
	// Covered reports whether the relays are complete, so that this instance need not watch the store.
	Covered() bool
	// CoverageChanged receives a signal when the result of Covered may have changed.
	CoverageChanged() <-chan struct{}
	// Deltas receives the relayed changes. A reader that has no changes repeats its revision.
	Deltas() <-chan *factwire.Facts
}

// FollowerOptions are the inputs of a Follower.
type FollowerOptions struct {
	Store    Store
	Sink     EventSink                       // receives the events of the store
	NextWait func() time.Duration            // how long the next watch waits for changes
	Announce func(revision catalog.Revision) // announces a listed revision to other instances, whose watches may have missed changes
	// Ask returns all that another instance knows of the store and its revision, or false when that instance knows nothing after
	// the given revision or does not answer. It is called while the store does not answer.
	Ask     func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, bool)
	Relays  RelaySource
	Publish func(*factwire.Facts) // relays the result of a call to the store
	Contact *Contact
	Log     hclog.Logger
}

// Follower lists and watches the store, and sends its content and changes to the control goroutine.
type Follower struct {
	opts  FollowerOptions
	Stats FollowerStats

	tables   tableTracker
	revision atomic.Pointer[catalog.Revision] // up to which this instance knows the store; nil before the first
	relist   chan struct{}                    // a signal requests a new listing from Run
	// interrupted is the number of watches in a row that ended without an answer. It belongs to the goroutine of Run.
	interrupted int
}

// FollowerStats counts the follower's calls.
type FollowerStats struct {
	Lists     atomic.Uint64
	Watches   atomic.Uint64
	Failures  atomic.Uint64
	Compacted atomic.Uint64 // watches and listings whose history the store no longer has
	Asked     atomic.Uint64 // listings received from another instance
	Relayed   atomic.Uint64 // messages from readers that were applied
	Abandoned atomic.Uint64 // watches and relays that may have missed changes
}

// NewFollower returns a follower; Run starts it.
func NewFollower(opts FollowerOptions) *Follower {
	return &Follower{opts: opts, relist: make(chan struct{}, 1)}
}

// Revision returns the revision up to which this instance knows the store.
func (f *Follower) Revision() catalog.Revision {
	if r := f.revision.Load(); r != nil {
		return *r
	}
	return catalog.Revision{}
}

// ReportRevision reports the revision up to which another instance knows the store. When this instance does not reach that
// revision within relistDelay, the follower lists again.
func (f *Follower) ReportRevision(revision catalog.Revision) {
	if !f.Revision().Before(revision) {
		return
	}
	time.AfterFunc(relistDelay, func() {
		if !f.Revision().Before(revision) {
			return
		}
		f.Relist()
	})
}

// Relist requests a new listing, because the watch in progress may no longer receive changes.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default: // already requested
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	listed, gap := false, false
	for ctx.Err() == nil {
		var err error
		watching := false
		if !listed && !f.Revision().IsZero() && f.stale() {
			listed = f.ask(ctx) // first, because a listing may take seconds to fail
		}
		switch {
		case !listed:
			err = f.list(ctx)
			listed = err == nil
			if listed && !gap { // after a gap the readers know these changes already
				f.opts.Announce(f.Revision())
			}
			gap = false
		case f.opts.Relays.Covered():
			err = f.followRelays(ctx)
		default:
			watching = true
			err = f.watch(ctx)
		}
		switch {
		case err == nil:
			backoff, f.interrupted = minBackoff, 0
		case errors.Is(err, errRelistRequested), errors.Is(err, errMissedChanges), errors.Is(err, errRelayGap):
			f.Stats.Abandoned.Add(1)
			f.opts.Log.Warn("changes may have been missed; listing the store again", "revision", f.Revision().String(), "why", err.Error())
			listed, gap = false, errors.Is(err, errRelayGap)
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrNewEra):
			f.Stats.Compacted.Add(1)
			f.opts.Log.Warn("store no longer has the history; listing again", "revision", f.Revision().String(), "why", err.Error())
			listed = false
		default:
			f.reportFailure(ctx, err, watching)
			if watching && f.interrupted >= maxInterrupted && !errors.Is(err, ErrRefused) {
				listed, f.interrupted = false, 0
			}
			listed = f.ask(ctx) || listed
			if !wait.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// stale reports whether the store's last answer is so old that changes may be missing.
func (f *Follower) stale() bool { return gossip.RemainingTrust(f.opts.Contact.Age()) == 0 }

// ask queries up to askTries other instances and applies the first newer state as a listing. An instance that has just started
// knows no revision and takes the newest state of all answers: the first one may come from an instance that is cut off, and
// still hold servers that have left. It returns false when no queried instance knows a newer revision.
func (f *Follower) ask(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	known := f.Revision()
	newest := catalog.Listed{Source: catalog.FromInstance, Revision: known}
	for range askTries {
		items, revision, ok := f.opts.Ask(call, known)
		if ok && newest.Revision.Before(revision) {
			newest.Items, newest.Revision = items, revision
		}
		if !known.IsZero() && known.Before(newest.Revision) {
			break
		}
	}
	if newest.Revision == known {
		return false
	}
	f.Stats.Asked.Add(1)
	f.tables.update(newest.Items)
	f.opts.Sink.Send(ctx, newest)
	f.revision.Store(&newest.Revision)
	return true
}

// list lists the store, and sends and publishes the result. It answers an earlier request for a listing.
func (f *Follower) list(ctx context.Context) error {
	f.Stats.Lists.Add(1)
	select {
	case <-f.relist:
	default: // none was requested
	}
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.opts.Store.List(call)
	if err != nil {
		return err
	}
	f.opts.Contact.Mark()
	f.opts.Sink.Send(ctx, catalog.StoreRecovered{})
	f.tables.update(items)
	f.opts.Sink.Send(ctx, catalog.Listed{Source: catalog.FromListing, Revision: revision, Items: items})
	f.opts.Publish(&factwire.Facts{After: revision, Revision: revision})
	f.revision.Store(&revision)
	return nil
}

// followRelays applies the changes that the readers relay until the relays are no longer complete.
func (f *Follower) followRelays(ctx context.Context) error {
	f.opts.Contact.Resume()
	f.opts.Log.Info("readers relay the store's changes", "revision", f.Revision().String())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.relist:
			return errRelistRequested
		case <-f.opts.Relays.CoverageChanged():
			if !f.opts.Relays.Covered() {
				f.opts.Log.Warn("readers no longer relay the store's changes; watching it", "revision", f.Revision().String())
				return nil
			}
		case d := <-f.opts.Relays.Deltas():
			if err := f.applyRelayed(ctx, d); err != nil {
				return err
			}
		}
	}
}

// applyRelayed applies the changes that a reader has relayed. It returns errRelayGap when earlier changes are missing.
func (f *Follower) applyRelayed(ctx context.Context, d *factwire.Facts) error {
	if !f.Revision().Before(d.Revision) {
		return nil
	}
	if f.Revision().Before(d.After) {
		return errRelayGap
	}
	items, err := f.tables.restore(d.Items)
	switch {
	case err != nil && d.After.Before(f.Revision()):
		f.ReportRevision(d.Revision) // two readers split the changes differently; the other one is about to relay the rest
		return nil
	case err != nil:
		f.opts.Log.Warn("relayed change of the routing table not applied", "error", err.Error())
		return errRelayGap
	}
	f.Stats.Relayed.Add(1)
	f.opts.Sink.Send(ctx, catalog.StoreRecovered{})
	f.opts.Sink.Send(ctx, catalog.Changed{Source: catalog.FromReader, After: d.After, Revision: d.Revision, Items: items})
	f.revision.Store(&d.Revision)
	return nil
}

// reportFailure counts and logs a failed call to the store, and reports the store as lost, or only the watch as interrupted.
func (f *Follower) reportFailure(ctx context.Context, err error, watching bool) {
	f.Stats.Failures.Add(1)
	if ctx.Err() != nil {
		return
	}
	f.opts.Log.Warn("store does not answer", "error", err.Error())
	if !watching {
		f.opts.Sink.Send(ctx, catalog.StoreLost{})
		return
	}
	f.interrupted++
	f.opts.Contact.Interrupt()
	f.opts.Sink.Send(ctx, catalog.WatchInterrupted{})
}
