// Package metastore keeps an instance in step with the platform's metadata store: Follower lists and watches it, Registrar
// keeps the instance's own entry alive. The store itself is behind the interface Store, so that this package knows no
// encoding.
package metastore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
)

// Errors of a store that callers tell apart. Every other error means that the store did not answer, so that a write may
// have happened.
var (
	// ErrCompacted says that the store no longer has the history that a watch asked for.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNoLease says that the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrConflict says that a condition of a write did not hold, and that nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrRefused says that the store turned the call away and did nothing.
	ErrRefused = errors.New("store refused the call")
)

// LeaseID names a lease of the store.
type LeaseID uint64

// Store is the platform's metadata store, with items already decoded into facts.
type Store interface {
	// List returns all items and the revision that they are at least as new as.
	List(ctx context.Context) ([]catalog.Item, catalog.Revision, error)
	// Watch returns the changes after a revision and the revision to go on from. It waits up to wait for the first.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) ([]catalog.Item, catalog.Revision, error)
	// Grant makes a lease and returns the time to live that applies.
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
