package platform

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/control"
	"azurebridge/internal/wait"
	"azurebridge/protocol/storeapi"
	"azurebridge/protocol/wire"
)

// Bounds of the claim log's store operations.
const (
	MaxQueuedOps     = 64                   // operations that wait for a worker; a claim writer has at most one per shard in progress
	ClaimLogWorkers  = 8                    // operations carried out at the same time
	resultRetryDelay = 5 * time.Millisecond // between attempts to pass a result to a full control queue
	hintName         = "next-hint"          // last part of the key of a shard's hint; see claims.HintStep
)

// ClaimLog carries out the store operations of the claim log.
type ClaimLog struct {
	client *Client
	offer  func(control.Event) error
	log    hclog.Logger
	queue  chan claims.Op

	Malformed     atomic.Uint64 // records and hints that could not be encoded or decoded
	lastMalformed atomic.Bool   // set by a malformed record or hint, cleared by the next record that is decoded
}

// NewClaimLog returns the claim log of a store. Results are passed to offer.
func NewClaimLog(client *Client, offer func(control.Event) error, log hclog.Logger) *ClaimLog {
	return &ClaimLog{client: client, offer: offer, log: log, queue: make(chan claims.Op, MaxQueuedOps)}
}

// Submit hands an operation to the workers without waiting. It returns false when the queue is full.
func (l *ClaimLog) Submit(op claims.Op) bool {
	select {
	case l.queue <- op:
		return true
	default:
		return false
	}
}

// Run starts the workers, which carry out operations until ctx ends, and returns.
func (l *ClaimLog) Run(ctx context.Context) {
	for range ClaimLogWorkers {
		go l.work(ctx)
	}
}

func (l *ClaimLog) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-l.queue:
			r := l.do(ctx, &op)
			r.ID, r.Shard = op.ID, op.Shard
			// A lost result would leave the shard waiting, so the result is offered again while the control queue is full.
			for l.offer(control.StoreDone{Result: r}) != nil && ctx.Err() == nil {
				wait.For(ctx, resultRetryDelay)
			}
		}
	}
}

func (l *ClaimLog) do(ctx context.Context, op *claims.Op) *claims.OpResult {
	switch op.Kind {
	case claims.OpList:
		return l.list(ctx, op)
	case claims.OpAppend:
		return l.append(ctx, op)
	case claims.OpLease:
		r, err := l.client.Lease(ctx, storeapi.LeaseRequest{TTLSeconds: int(claims.LeaseTTL / time.Second)})
		return &claims.OpResult{Status: opStatus(err, r.OK), Lease: r.ID}
	case claims.OpRenew:
		r, err := l.client.Lease(ctx, storeapi.LeaseRequest{ID: op.Lease})
		return &claims.OpResult{Status: opStatus(err, r.OK)}
	default:
		value := binary.BigEndian.AppendUint64(nil, op.Seq)
		r, err := l.client.CAS(ctx, storeapi.CASRequest{Key: shardPrefix(op.Shard) + hintName, Value: value, Version: op.Version})
		return &claims.OpResult{Status: opStatus(err, r.OK), Version: r.Current.Version}
	}
}

// opStatus classifies the result of a write. A write whose outcome is unknown must not count as not done.
func opStatus(err error, ok bool) claims.OpStatus {
	switch {
	case err == nil && ok:
		return claims.OpOK
	case err == nil:
		return claims.OpConflict
	case errors.Is(err, ErrUnavailable):
		return claims.OpNotDone
	default:
		return claims.OpUnknown
	}
}

func (l *ClaimLog) list(ctx context.Context, op *claims.Op) *claims.OpResult {
	failed := &claims.OpResult{Status: claims.OpNotDone}
	after := ""
	if op.Seq > 0 {
		after = recordKey(op.Shard, op.Seq)
	}
	page, err := l.client.List(ctx, shardPrefix(op.Shard), after)
	if err != nil {
		return failed
	}
	r := &claims.OpResult{Status: claims.OpOK, More: page.More}
	for i := range page.Entries {
		e := &page.Entries[i]
		if e.Key == shardPrefix(op.Shard)+hintName {
			if len(e.Value) != 8 {
				l.reportMalformed(e.Key, errors.Errorf("hint has %d bytes", len(e.Value)))
				return failed
			}
			r.Hint, r.Version = binary.BigEndian.Uint64(e.Value), e.Version
			continue
		}
		rec, err := l.decode(op.Shard, e)
		if err != nil {
			return failed
		}
		r.Records = append(r.Records, *rec)
	}
	return r
}

// append creates a record. If the key holds a malformed record, the outcome is unknown, because that record may be this
// writer's own.
func (l *ClaimLog) append(ctx context.Context, op *claims.Op) *claims.OpResult {
	value, err := wire.EncodeClaimRecord(op.Record)
	if err != nil {
		l.reportMalformed(recordKey(op.Shard, op.Seq), err)
		return &claims.OpResult{Status: claims.OpNotDone}
	}
	reply, err := l.client.CAS(ctx, storeapi.CASRequest{Key: recordKey(op.Shard, op.Seq), Value: value, Lease: op.Lease})
	r := &claims.OpResult{Status: opStatus(err, reply.OK)}
	if r.Status != claims.OpConflict || reply.Current.Version == 0 {
		return r
	}
	rec, err := l.decode(op.Shard, &reply.Current)
	if err != nil {
		return &claims.OpResult{Status: claims.OpUnknown}
	}
	r.Records = []claims.Record{*rec}
	return r
}

func (l *ClaimLog) decode(s claims.Shard, e *storeapi.Entry) (*claims.Record, error) {
	seq, err := strconv.ParseUint(strings.TrimPrefix(e.Key, shardPrefix(s)), 16, 64)
	if err != nil {
		l.reportMalformed(e.Key, err)
		return nil, err
	}
	rec, err := wire.DecodeClaimRecord(e.Value)
	if err != nil {
		l.reportMalformed(e.Key, err)
		return nil, err
	}
	l.lastMalformed.Store(false)
	rec.Seq, rec.Lease = seq, e.Lease
	return rec, nil
}

// reportMalformed counts a record or hint that cannot be encoded or decoded, and logs the first of several in a row.
func (l *ClaimLog) reportMalformed(key string, err error) {
	l.Malformed.Add(1)
	if !l.lastMalformed.Swap(true) {
		l.log.Error("claim record or hint cannot be encoded or decoded", "key", key, "error", err)
	}
}

func shardPrefix(s claims.Shard) string { return fmt.Sprintf("claims/%02x/", uint8(s)) }

// recordKey returns the key of a record. Keys sort by sequence number, and before the key of the hint.
func recordKey(s claims.Shard, seq uint64) string { return fmt.Sprintf("%s%016x", shardPrefix(s), seq) }
