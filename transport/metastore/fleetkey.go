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

// Size of the fleet's key, and the longest pause before an instance tries to create it. The pause is random, so that
// mostly one instance of a new fleet does.
const (
	fleetKeyBytes = 32
	fleetKeyPause = 1500 * time.Millisecond
)

// EnsureFleetKey creates the key that signs messages between instances, unless one is known by then.
func EnsureFleetKey(ctx context.Context, store Store, known func() bool, log hclog.Logger) {
	for wait.For(ctx, time.Duration(mathrand.Int64N(int64(fleetKeyPause)))) && !known() {
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
