package metastore

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/internal/wait"
)

const (
	fleetKeyBytes = 32 // size of the fleet's key
	// maxFleetKeyPause is the max pause before an instance tries to create the key. It is random, so that in a new fleet usually
	// only one instance tries.
	maxFleetKeyPause = 1500 * time.Millisecond
	// fleetKeyInterval is the time between checks whether the key has been withdrawn.
	fleetKeyInterval = 10 * time.Second
)

// EnsureFleetKey creates the key that signs messages between instances whenever known reports that there is none, after a
// random pause, until ctx ends.
func EnsureFleetKey(ctx context.Context, store Store, known func() bool, log hclog.Logger) {
	for wait.For(ctx, time.Duration(mathrand.Int64N(int64(maxFleetKeyPause)))) {
		if known() {
			if !wait.For(ctx, fleetKeyInterval) {
				return
			}
			continue
		}
		key := make([]byte, fleetKeyBytes)
		rand.Read(key) // never fails
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := store.CreateFleetKey(call, key)
		cancel()
		if err != nil && !errors.Is(err, ErrConflict) {
			log.Warn("fleet key not created", "error", err.Error())
		}
	}
}
