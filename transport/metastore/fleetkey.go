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

// Size of the fleet's key in bytes, and the max pause before an instance tries to create it. The pause is random, so that
// in a new fleet usually only one instance tries.
const (
	fleetKeyBytes    = 32
	maxFleetKeyPause = 1500 * time.Millisecond
)

// EnsureFleetKey creates the key that signs messages between instances. It tries after random pauses until known reports that
// there is a key, or ctx ends.
func EnsureFleetKey(ctx context.Context, store Store, known func() bool, log hclog.Logger) {
	for wait.For(ctx, time.Duration(mathrand.Int64N(int64(maxFleetKeyPause)))) && !known() {
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
