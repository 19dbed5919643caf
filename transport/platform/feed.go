package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/control"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

// Keys and intervals of the feed.
const (
	KeyConfigHead    = "config/head"
	ListInterval     = time.Second            // between reads of the list of instances
	RetryInterval    = 500 * time.Millisecond // after a failed call
	firstListRetries = 100 * time.Millisecond
)

// Feed passes the configuration and the list of instances from the platform to the control goroutine.
type Feed struct {
	Client *Client
	Offer  func(control.Event) error
	Log    hclog.Logger
}

// WatchConfig passes on each accepted configuration until ctx ends.
func (f *Feed) WatchConfig(ctx context.Context) {
	var seen uint64
	healthy := true
	for ctx.Err() == nil {
		e, err := f.Client.Watch(ctx, KeyConfigHead, seen)
		if err == nil && e.Version > seen {
			err = f.pass(e)
		}
		if err != nil {
			if healthy && ctx.Err() == nil {
				f.Log.Warn("configuration watch failed", "error", err)
			}
			healthy = false
			sleep(ctx, RetryInterval)
			continue
		}
		if !healthy {
			f.Log.Info("configuration watch works again")
		}
		healthy, seen = true, e.Version
	}
}

func (f *Feed) pass(e storeapi.Entry) error {
	var c state.Config
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return err
	}
	return f.Offer(control.Configured{Config: &c})
}

// WatchInstances passes on the list of instances until ctx ends.
func (f *Feed) WatchInstances(ctx context.Context) {
	wait := firstListRetries
	for ctx.Err() == nil {
		list, err := f.Client.Instances(ctx)
		if err == nil && f.Offer(control.Listed{Instances: convert(list)}) == nil {
			wait = ListInterval
		}
		sleep(ctx, wait)
	}
}

// convert keeps the entry instances, which are those with a fleet address.
func convert(list []storeapi.Instance) []state.Instance {
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
