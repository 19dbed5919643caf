// Package claims records idempotency keys, so that a submission with a key runs at most once.
//
// Claims and outcomes are stored in one log per shard in the store. Client runs on each entry instance and sends claims
// to the writer of the key's shard. Writer appends batches to the log with create-if-absent on the next sequence number.
// One writer per shard only avoids conflicts. Two writers of a shard are safe, because only one create of a sequence
// number succeeds and the other writer applies the winning record before it decides again.
package claims

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Shards is the number of logs.
const Shards = 16

// ClaimRetention is the minimum time that a key is retained, counted from the grant of its last attempt. Records are
// retained RetentionMargin longer, because a grant arrives up to ClaimTimeout after the append of its record started.
const (
	ClaimRetention  = time.Hour
	RetentionMargin = time.Minute
)

// LeasePeriod is how long a writer attaches one store lease to new records; LeaseTTL is the duration of that lease. One
// lease per period instead of one per record keeps store writes low.
const (
	LeasePeriod = 5 * time.Minute
	LeaseTTL    = ClaimRetention + LeasePeriod + RetentionMargin
)

// Shard numbers a log, from 0 to Shards-1.
type Shard uint8

// ShardOf returns the shard of a key.
func ShardOf(k message.ClaimKey) Shard { return Shard(k[0] % Shards) }

// KeyOf hashes an idempotency key together with the customer and service that it belongs to.
func KeyOf(customer state.CustomerName, service state.ServiceName, key string) message.ClaimKey {
	h := sha256.New()
	for _, s := range []string{string(customer), string(service), key} {
		writeString(h.Write, s)
	}
	var k message.ClaimKey
	copy(k[:], h.Sum(nil))
	return k
}

// Fingerprint hashes the method, URI and body of a submission. Size is the length of the whole body, or -1 if it is
// unknown; body may be only the beginning of it.
func Fingerprint(method, uri string, size int64, body []byte) uint64 {
	h := sha256.New()
	writeString(h.Write, method)
	writeString(h.Write, uri)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(size)))
	_, _ = h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// writeString writes a length-prefixed string, so that adjacent strings cannot be confused.
func writeString(write func([]byte) (int, error), s string) {
	_, _ = write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
	_, _ = write([]byte(s))
}

// Outbound is a message to another instance.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// Nonce identifies one record. After a lost reply, a writer recognizes its own record by the nonce.
type Nonce [16]byte

// EntryKind distinguishes claims from outcomes.
type EntryKind uint8

// EntryClaim records that an attempt may be sent, EntryOutcome how it ended.
const (
	EntryClaim EntryKind = iota + 1
	EntryOutcome
)

// Entry is one claim or outcome in the log.
type Entry struct {
	Kind        EntryKind
	Key         message.ClaimKey
	Attempt     message.AttemptID
	Fingerprint uint64
	Outcome     message.Outcome // of an EntryOutcome
}

// Record is a batch of entries with one sequence number.
type Record struct {
	Seq     uint64
	Nonce   Nonce
	Lease   uint64 // store lease that the record is attached to; known when it was read
	Entries []Entry
}

// OpKind is the kind of a store operation.
type OpKind uint8

const (
	OpList   OpKind = iota + 1 // reads records with a sequence number above Seq, and the hint (see HintStep)
	OpAppend                   // creates Record if no record with its sequence number exists
	OpLease                    // creates a lease of LeaseTTL
	OpRenew                    // extends the lease Lease to its full duration
	OpHint                     // sets the hint to Seq if its version is Version
)

// Op is one store operation.
type Op struct {
	ID      uint64
	Kind    OpKind
	Shard   Shard
	Seq     uint64
	Version uint64
	Lease   uint64
	Record  *Record
}

// OpStatus says how a store operation ended.
type OpStatus uint8

const (
	OpOK       OpStatus = iota + 1
	OpConflict          // the record or another hint exists, or the lease does not
	OpNotDone           // proved not to have taken effect
	OpUnknown           // may have taken effect, now or later
)

// OpResult is the result of an Op.
type OpResult struct {
	ID      uint64
	Shard   Shard
	Status  OpStatus
	Records []Record // OpList: in order; OpAppend with OpConflict: the existing record, none if the lease has expired
	More    bool     // OpList: there are further pages
	Hint    uint64
	Version uint64 // of the hint
	Lease   uint64 // of OpLease
}

// Stats counts what Writer and Client did.
type Stats struct {
	Granted       uint64
	Replayed      uint64
	Pending       uint64
	Mismatched    uint64
	Unavailable   uint64
	Uncertain     uint64
	Appends       uint64
	Entries       uint64
	Conflicts     uint64 // appends that found another writer's record
	LostReplies   uint64 // appends whose result is unknown
	Loads         uint64 // reads of a log from its beginning
	StoreFailures uint64
	QueueFull     uint64
	IndexFull     uint64
	Reports       uint64
	LostReports   uint64 // outcomes dropped because the queue was full or no acknowledgement arrived in time
}

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	var n Nonce
	_, _ = rand.Read(n[:]) // it never fails
	return n
}

// NewAttempt returns a random attempt id.
func NewAttempt() message.AttemptID { return message.AttemptID(NewNonce()) }
