package fleet

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/control"
)

// Bounds of probes.
const (
	ProbeTimeout = 200 * time.Millisecond
	MaxProbes    = 64 // probes that wait for a worker
	probeWorkers = 4  // probes that run at the same time
)

// Prober finds out whether processes of other instances still run.
type Prober struct {
	offer   func(control.Event) error
	queue   chan control.Probe
	Probes  atomic.Uint64
	Refused atomic.Uint64 // probes that proved that the process has ended
	Dropped atomic.Uint64 // probes or results dropped because a queue was full
}

// NewProber returns a prober that passes results to offer.
func NewProber(offer func(control.Event) error) *Prober {
	return &Prober{offer: offer, queue: make(chan control.Probe, MaxProbes)}
}

// Probe queues a probe, or drops it when the queue is full. It never blocks; a region's home (the instance that allocates its
// slots) requests dropped probes again.
func (p *Prober) Probe(pr control.Probe) {
	select {
	case p.queue <- pr:
	default:
		p.Dropped.Add(1)
	}
}

// Run starts the workers, which carry out probes until ctx ends, and returns.
func (p *Prober) Run(ctx context.Context) {
	for range probeWorkers {
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case pr := <-p.queue:
					p.run(ctx, pr)
				}
			}
		}()
	}
}

func (p *Prober) run(ctx context.Context, pr control.Probe) {
	p.Probes.Add(1)
	refused := RefusesConnections(ctx, pr.Address)
	if refused {
		p.Refused.Add(1)
	}
	if p.offer(control.Probed{Probe: pr, Refused: refused}) != nil {
		p.Dropped.Add(1)
	}
}

// RefusesConnections reports whether the host answers that nothing listens on the address. A timeout or an unreachable network
// proves nothing and counts as false.
func RefusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: ProbeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
