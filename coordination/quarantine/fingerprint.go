// Package quarantine decides which requests are not tried further because backend servers have ended under them. Ledger holds
// the evidence on the control goroutine; Snapshot is what traffic goroutines read. The package does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies requests that are equal for a backend server. It is a truncated SHA-256, so that neither the target nor
// the body can be read from it.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request. Headers do not count: they differ between callers. Of a body that is not
// whole, the buffered beginning counts.
func FingerprintOf(method, host, target string, body []byte, whole bool) Fingerprint {
	digest := sha256.Sum256(body)
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(digest[:])
	if !whole {
		h.Write([]byte("partial"))
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
