package platform

import (
	"context"
	"sync/atomic"

	"azurebridge/coordination/control"
	"azurebridge/protocol/storeapi"
)

// MaxQueuedRecords bounds the operations on home records that wait for the worker.
const MaxQueuedRecords = 64

// Worker runs the store operations of the control goroutine.
type Worker struct {
	client  *Client
	offer   func(control.Event) error
	queue   chan control.StoreOp
	Dropped atomic.Uint64 // operations or results dropped because a queue was full
}

// NewWorker returns a worker that passes results to offer.
func NewWorker(c *Client, offer func(control.Event) error) *Worker {
	return &Worker{client: c, offer: offer, queue: make(chan control.StoreOp, MaxQueuedRecords)}
}

// Submit queues an operation, or drops it when the queue is full. It never blocks; the control goroutine repeats operations
// whose result is missing.
func (w *Worker) Submit(op control.StoreOp) {
	select {
	case w.queue <- op:
	default:
		w.Dropped.Add(1)
	}
}

// Run runs operations, one at a time, until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-w.queue:
			if w.offer(w.run(ctx, op)) != nil {
				w.Dropped.Add(1)
			}
		}
	}
}

func (w *Worker) run(ctx context.Context, op control.StoreOp) control.Stored {
	e, err := w.call(ctx, op)
	if err != nil {
		return control.Stored{Op: op, Err: err}
	}
	r, err := storeapi.DecodeWitnesses(op.Record.Region, &e)
	return control.Stored{Op: op, Version: e.Version, Record: r, Err: err}
}

// call runs an operation and returns the entry as it is afterwards.
func (w *Worker) call(ctx context.Context, op control.StoreOp) (storeapi.Entry, error) {
	if op.Kind == control.StoreRead {
		return w.client.Get(ctx, op.Key)
	}
	value, err := storeapi.EncodeWitnesses(op.Record)
	if err != nil {
		return storeapi.Entry{}, err
	}
	r, err := w.client.CAS(ctx, storeapi.CASRequest{Key: op.Key, Value: value, Version: op.Version})
	return r.Current, err
}
