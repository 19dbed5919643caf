// Package metastore connects an instance to the platform's metadata store: Follower lists and watches the store, Registrar
// keeps the instance's own entry registered. The store itself is behind the interface Store, so that this package depends on
// no encoding.
package metastore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
)

// Errors of a store that callers distinguish. Any other error means that the store did not answer, so that a write may
// have happened.
var (
	// ErrCompacted means that the store no longer has the history that a watch asked for.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNewEra means that the store has returned from a copy since the revision that a watch asked for, or within a listing.
	ErrNewEra = errors.New("store has returned from a copy")
	// ErrNoLease means that the lease has expired, was revoked, or was granted in an earlier era.
	ErrNoLease = errors.New("no such lease")
	// ErrConflict means that a condition of a write did not hold, and that nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrRefused means that the store rejected the call and did nothing.
	ErrRefused = errors.New("store refused the call")
)

// LeaseID identifies a lease of the store. A store that returns from a copy loses the leases granted since, and gives out their
// numbers again.
type LeaseID struct {
	Era    uint64 // of the store when it granted the lease
	Number uint64 // 0 for no lease
}

// Store is the platform's metadata store, with items already decoded into facts.
type Store interface {
	// List returns all items and a revision. The items include all changes up to that revision, and may include later ones. They
	// are all of the revision's era; otherwise List fails with ErrNewEra.
	List(ctx context.Context) ([]catalog.Item, catalog.Revision, error)
	// Watch returns the changes after a revision, and the revision from which to continue. It waits up to wait for the first
	// change. It fails with ErrCompacted or ErrNewEra when changes after the revision are missing.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) ([]catalog.Item, catalog.Revision, error)
	// Grant creates a lease and returns the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew renews a lease.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its items.
	Revoke(ctx context.Context, id LeaseID) error
	// Register writes the instance's own entry under a lease.
	Register(ctx context.Context, id LeaseID) error
	// CreateFleetKey writes the fleet's key unless there is one already.
	CreateFleetKey(ctx context.Context, key []byte) error
}
