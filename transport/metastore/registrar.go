package metastore

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
)

// Times of the registration.
const (
	// EntryTTL is how long an unresponsive instance stays listed.
	EntryTTL = 3500 * time.Millisecond
	// renewInterval lets the lease survive two lost renewals.
	renewInterval = 1100 * time.Millisecond
	callTimeout   = 800 * time.Millisecond
	// maxUnlisted is the number of renewals after which an entry that the instance does not see is written again: it usually sees
	// its own entry within one.
	maxUnlisted = 3
)

// Registrar keeps this instance's entry in the store while the instance accepts requests. Its regular calls also detect an
// unavailable store while a watch waits.
type Registrar struct {
	store    Store
	sink     EventSink
	contact  *Contact
	regained func() // called when the store answers again after a failure
	log      hclog.Logger
	listed   func() bool // whether the instance sees its own entry; may be nil
	unlisted int         // renewals in a row at which it did not

	mu      sync.Mutex
	lease   LeaseID // number 0 without one
	stopped bool
}

// NewRegistrar returns a Registrar; Run starts it. It sends catalog.StoreLost to sink when the store stops answering and
// catalog.LeaseRenewed while it answers, marks contact at each answer, and calls regained when the store answers again.
func NewRegistrar(store Store, sink EventSink, contact *Contact, regained func(), log hclog.Logger) *Registrar {
	return &Registrar{store: store, sink: sink, contact: contact, regained: regained, log: log}
}

// CheckListed has the entry written again when listed reports for maxUnlisted renewals that the instance does not see it: a late write
// of an earlier process of the same name may have bound it to a lease that has expired since. Call it before Run.
func (r *Registrar) CheckListed(listed func() bool) { r.listed = listed }

// Run registers the instance and renews its lease until ctx ends or Leave is called.
func (r *Registrar) Run(ctx context.Context) {
	registered, storeLost := false, false
	for {
		err := r.renewOrRegister(ctx, &registered)
		if err != nil && ctx.Err() == nil && !r.hasLeft() {
			r.log.Warn("entry in the store not renewed", "error", err.Error())
		}
		answered := err == nil || errors.Is(err, ErrNoLease)
		if answered {
			r.contact.MarkCall()
		}
		switch {
		case answered && storeLost:
			storeLost = false
			r.regained()
		case answered:
			// Not at the first answer after a failure: the listing that it requests shows first which servers have registered again.
			r.sink.Send(ctx, catalog.LeaseRenewed{})
		case !answered && !storeLost:
			storeLost = true
			r.sink.Send(ctx, catalog.StoreLost{})
		}
		pause := renewInterval
		if !registered {
			pause = renewInterval / 4
		}
		if r.hasLeft() || !wait.For(ctx, pause) {
			return
		}
	}
}

// renewOrRegister renews the lease, and registers the instance under it unless it is registered. A lease under which the entry could
// not be written is used again as long as it lasts: the write may be carried out late, and would bind the entry to a lease that
// nobody renews. The store rejects writes under a lease that has ended.
func (r *Registrar) renewOrRegister(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease := r.lease
	if lease.Number != 0 {
		err := r.store.Renew(ctx, lease)
		if errors.Is(err, ErrNoLease) {
			*registered = false
			r.setLease(LeaseID{})
		}
		if err != nil || *registered && !r.isUnlisted() {
			return err
		}
	} else {
		var err error
		if lease, _, err = r.store.Grant(ctx, EntryTTL); err != nil {
			return err
		}
		if !r.setLease(lease) {
			return r.store.Revoke(ctx, lease)
		}
	}
	if err := r.store.Register(ctx, lease); err != nil {
		return err
	}
	*registered = true
	r.log.Info("instance registered", "lease", lease.Number, "era", lease.Era)
	return nil
}

// isUnlisted reports whether the instance has not seen its own entry for maxUnlisted renewals.
func (r *Registrar) isUnlisted() bool {
	if r.listed == nil || r.listed() {
		r.unlisted = 0
		return false
	}
	r.unlisted++
	if r.unlisted < maxUnlisted {
		return false
	}
	r.unlisted = 0
	return true
}

// setLease stores the lease. It returns false when Leave has been called meanwhile.
func (r *Registrar) setLease(lease LeaseID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	return !r.stopped
}

// hasLeft reports whether Leave has been called.
func (r *Registrar) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Leave removes the entry, so that callers are no longer directed to this instance, and ends Run.
func (r *Registrar) Leave(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.stopped = true
	r.mu.Unlock()
	if lease.Number == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil && !errors.Is(err, ErrNoLease) {
		r.log.Warn("entry in the store not removed; it expires with its lease", "error", err.Error())
	}
}
