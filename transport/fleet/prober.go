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
	MaxProbes    = 64 // waiting
	probeWorkers = 4
)

// Prober finds out whether processes of other instances still run.
type Prober struct {
	offer   func(control.Event) error
	queue   chan control.Probe
	Probes  atomic.Uint64
	Refused atomic.Uint64 // processes proved to be gone
	Dropped atomic.Uint64 // probes or results dropped because a queue was full
}

// NewProber returns a prober that passes results to offer.
func NewProber(offer func(control.Event) error) *Prober {
	return &Prober{offer: offer, queue: make(chan control.Probe, MaxProbes)}
}

// Probe queues a probe. It never blocks; the home asks again for what is dropped.
func (p *Prober) Probe(pr control.Probe) {
	select {
	case p.queue <- pr:
	default:
		p.Dropped.Add(1)
	}
}

// Run carries out probes until ctx ends.
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
	refused := Refuses(ctx, pr.Address)
	if refused {
		p.Refused.Add(1)
	}
	if p.offer(control.Probed{Probe: pr, Refused: refused}) != nil {
		p.Dropped.Add(1)
	}
}

// Refuses reports whether the host answers that nothing listens on the address. A timeout or an unreachable network
// proves nothing and counts as false.
func Refuses(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: ProbeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
