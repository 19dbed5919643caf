package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/control"
	"azurebridge/coordination/rollout"
	"azurebridge/internal/wait"
	"azurebridge/protocol/configcodec"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

// Intervals of the feed.
const (
	ListInterval      = time.Second            // between reads of the list of instances
	RetryInterval     = 500 * time.Millisecond // after a failed call
	MaxStartRetry     = 10 * time.Second       // longest delay between reads of the head at the start, while the store is down
	firstListInterval = 100 * time.Millisecond // between reads of the list of instances, until one succeeds
	maxQueuedDecodes  = 4                      // configurations waiting to be decoded
)

// Feed passes the configuration and the list of instances from the platform to the control goroutine.
type Feed struct {
	client    *Client
	store     *ConfigStore
	offer     func(control.Event) error
	revision  func() state.Revision // returns the revision in force
	log       hclog.Logger
	undecoded chan rollout.Item
	watching  atomic.Bool   // whether this instance is to watch the store
	toggled   chan struct{} // receives a value after watching has changed
}

// NewFeed returns a feed. revision returns the revision in force; neither it nor an earlier one is read again.
func NewFeed(client *Client, offer func(control.Event) error, revision func() state.Revision, log hclog.Logger) *Feed {
	return &Feed{
		client: client, store: NewConfigStore(client), offer: offer, revision: revision, log: log,
		undecoded: make(chan rollout.Item, maxQueuedDecodes), toggled: make(chan struct{}, 1),
	}
}

// Decode queues a configuration for decoding. When the queue is full, the configuration is dropped; the control
// goroutine passes it again.
func (f *Feed) Decode(it rollout.Item) {
	select {
	case f.undecoded <- it:
	default:
	}
}

// Watch sets whether this instance watches the store.
func (f *Feed) Watch(on bool) {
	if f.watching.Swap(on) == on {
		return
	}
	select {
	case f.toggled <- struct{}{}:
	default:
	}
}

// DecodeConfigs decodes the configurations that other instances sent and Decode queued, until ctx ends.
func (f *Feed) DecodeConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-f.undecoded:
			var ev control.Event
			c, err := configcodec.Decode(it)
			if err != nil {
				f.log.Error("received configuration cannot be decoded", "revision", it.Revision, "error", err)
				ev = control.Undecodable{Digest: it.Digest}
			} else {
				ev = control.Configured{Config: c, Item: it}
			}
			_ = f.offer(ev) // when the control queue is full, the control goroutine passes the item to Decode again
		}
	}
}

// WatchConfig reads the configuration once at the start, and passes on each accepted configuration while this instance is a
// reader (an instance that watches the store and sends its changes to others), until ctx ends.
func (f *Feed) WatchConfig(ctx context.Context) {
	f.readAtStart(ctx)
	var seen uint64
	for ctx.Err() == nil {
		if !f.watching.Load() {
			select {
			case <-ctx.Done():
			case <-f.toggled:
			}
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan uint64, 1)
		go func() { done <- f.watch(watchCtx, seen) }()
		for f.watching.Load() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-f.toggled:
			}
		}
		cancel()
		seen = <-done
	}
}

// readAtStart reads the configuration at the start, and retries until it succeeds, another instance has sent a configuration,
// or this instance watches the store.
func (f *Feed) readAtStart(ctx context.Context) {
	for delay := RetryInterval; ctx.Err() == nil; delay = min(2*delay, MaxStartRetry) {
		h, _, err := f.store.Head(ctx)
		if err == nil {
			err = f.load(ctx, h)
		}
		if err == nil || f.revision() > 0 || f.watching.Load() {
			return
		}
		wait.For(ctx, delay)
	}
}

// watch passes on accepted configurations until ctx ends. It returns the last version of the head that it has seen.
func (f *Feed) watch(ctx context.Context, seen uint64) uint64 {
	healthy := true
	for ctx.Err() == nil {
		e, err := f.client.Watch(ctx, configcodec.KeyHead, seen)
		// A version below seen means that the store has lost its content.
		if err == nil && e.Version != seen && e.Version > 0 {
			err = f.loadEncoded(ctx, e.Value)
		}
		if err != nil {
			if healthy && ctx.Err() == nil {
				f.log.Warn("configuration watch failed", "error", err)
			}
			healthy = false
			wait.For(ctx, RetryInterval)
			continue
		}
		if !healthy {
			f.log.Info("configuration watch works again")
		}
		healthy, seen = true, e.Version
	}
	return seen
}

func (f *Feed) loadEncoded(ctx context.Context, value []byte) error {
	h, err := configcodec.DecodeHead(value)
	if err != nil {
		return err
	}
	return f.load(ctx, h)
}

// load reads and passes on the configuration of a head, unless its revision or a later one is in force.
func (f *Feed) load(ctx context.Context, h configcodec.Head) error {
	if h.Revision <= f.revision() {
		return nil
	}
	it, c, err := f.store.Load(ctx, h)
	if err != nil {
		return err
	}
	return f.offer(control.Configured{Config: c, Item: it})
}

// WatchInstances passes on the list of instances until ctx ends. It logs the first of several failures, and their end.
func (f *Feed) WatchInstances(ctx context.Context) {
	delay, healthy := firstListInterval, true
	for ctx.Err() == nil {
		list, err := f.client.Instances(ctx)
		switch {
		case err == nil && !healthy:
			f.log.Info("list of instances is read again")
		case err != nil && healthy && ctx.Err() == nil:
			f.log.Warn("list of instances cannot be read", "error", err)
		}
		healthy = err == nil
		if err == nil && f.offer(control.Listed{Instances: entryInstances(list)}) == nil {
			delay = ListInterval
		}
		wait.For(ctx, delay)
	}
}

// entryInstances returns the entry instances of the list, which are those with a fleet address.
func entryInstances(list []storeapi.Instance) []state.Instance {
	var out []state.Instance
	for _, in := range list {
		if in.FleetAddress == "" {
			continue
		}
		out = append(out, state.Instance{
			Name: state.InstanceName(in.Name), Region: state.RegionName(in.Region), Domain: state.DomainName(in.Domain),
			CallerAddress: in.CallerAddress, FleetAddress: in.FleetAddress, Status: state.InstanceStatus(in.Status),
		})
	}
	return out
}
