// Package load generates open-loop load as callers do, and checks every response: bodies byte by byte, and the outcomes
// reported to callers for their submissions against the ledger of the stand-ins, which lists the submissions that ran.
package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/internal/wait"
	"azurebridge/protocol/settings"
	"azurebridge/transport/standin"
)

const (
	maxIdlePerEntry = 256 // connections
	idleConnTimeout = 2 * time.Second
	dialTimeout     = time.Second
	ledgerTimeout   = 10 * time.Second
	maxLedger       = 256 << 20 // bytes
	maxRepeatDelay  = 300 * time.Millisecond
	readBuffer      = 256 << 10 // bytes of the kernel's receive buffer
)

// Runner sends the load of one run and checks the responses.
type Runner struct {
	cfg       *settings.Load
	log       hclog.Logger
	sender    *sender
	directory *directory
	outcomes  *OutcomeLog
	stats     Stats
	table     table
	slots     chan struct{} // bounds the requests in flight
	running   sync.WaitGroup
	timeline  *timeline // nil if disabled
	nonce     string    // distinguishes the submissions of runs against the same stand-ins
}

// New returns a runner.
func New(cfg *settings.Load, log hclog.Logger) *Runner {
	r := &Runner{
		cfg: cfg, log: log, outcomes: NewOutcomeLog(), table: table{byPair: make(map[pair]*counters)},
		slots: make(chan struct{}, cfg.MaxInFlight), nonce: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: idleConnTimeout, DisableCompression: true, ReadBufferSize: checkBuffer,
	}}
	r.directory = newDirectory(client, cfg.Platform.String(), &r.stats)
	r.sender = &sender{http: client, ahead: newAheadTransport(), directory: r.directory, outcomes: r.outcomes, stats: &r.stats, rtt: cfg.NetworkRTT}
	return r
}

// dial connects with a small receive buffer, so that the kernel buffers little of a body for a client that reads slowly.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readBuffer) // an error only makes slow reads less even
	}
	return c, err
}

// Run sends the load and returns the report. It fails if the list of instances or the ledger of the stand-ins cannot be read, or
// if a fault cannot be switched on or off.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if _, err := r.directory.refresh(ctx); err != nil {
		return nil, errors.Wrap(err, "read the list of instances")
	}
	before, err := r.ledger(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	if r.cfg.Timeline {
		r.timeline = newTimeline(begin)
	}
	waitForFaults := r.scheduleFaults(ctx)
	var streams sync.WaitGroup
	for i := range r.cfg.Mix {
		line := &r.cfg.Mix[i]
		for _, customer := range line.Customers {
			for _, region := range line.Regions {
				streams.Go(func() { r.stream(ctx, begin, line, customer, region) })
			}
		}
	}
	streams.Wait()
	seconds := time.Since(begin).Seconds()
	r.settle(cancel)
	if err := waitForFaults(); err != nil {
		return nil, err
	}
	after, err := r.ledger(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	out := r.report(before, after, seconds)
	out.setCalls(before, after)
	return out, nil
}

// settle waits for the requests in flight, and cancels those that take longer than the settings allow.
func (r *Runner) settle(cancel context.CancelFunc) {
	t := time.AfterFunc(r.cfg.Settle, cancel)
	r.running.Wait()
	t.Stop()
}

// stream sends the requests of one customer from one region as a Poisson process that does not wait for responses.
func (r *Runner) stream(ctx context.Context, begin time.Time, line *settings.MixLine, customer, region string) {
	rate := line.PerSecond / float64(len(line.Customers)*len(line.Regions))
	if rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(r.cfg.Seed, xxhash.Sum64String(line.Name+"\x00"+customer+"\x00"+region)))
	next := time.Duration(0)
	for n := uint64(0); ; n++ {
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if next > r.cfg.Duration || !wait.For(ctx, time.Until(begin.Add(next))) {
			return
		}
		c := r.newCall(line, customer, region, n, random)
		delay := time.Duration(random.Float64() * float64(maxRepeatDelay))
		repeat := c.key != "" && random.Float64() < line.Repeat
		select {
		case r.slots <- struct{}{}:
		default:
			r.stats.Overflow.Add(1)
			continue
		}
		intended := begin.Add(next)
		r.running.Go(func() {
			defer func() { <-r.slots }()
			r.execute(ctx, c, intended)
		})
		if repeat {
			r.running.Go(func() { r.repeat(ctx, *c, delay) })
		}
	}
}

// newCall returns the n-th call of a stream.
func (r *Runner) newCall(line *settings.MixLine, customer, region string, n uint64, random *rand.Rand) *call {
	client := random.IntN(line.Clients)
	c := &call{
		line: line, customer: customer, random: random.Uint64(),
		caller: caller{customer: customer, service: line.Service, region: region, client: region + "-" + strconv.Itoa(client)},
	}
	keyed := random.Float64() < line.Keyed
	if line.Submission {
		c.id = r.nonce + "-" + line.Name + "-" + customer + "-" + region + "-" + strconv.FormatUint(n, 10)
		if keyed {
			c.key = c.id
		}
	}
	return c
}

// execute makes a call and counts its result. The latency is measured from the intended start.
func (r *Runner) execute(ctx context.Context, c *call, intended time.Time) {
	res := r.sender.do(ctx, c)
	took := time.Since(intended)
	r.table.get(pair{c.customer, c.line.Service}).add(res, took)
	r.timeline.add(c.line.Service, intended, took, res)
}

// repeat sends a submission again after the delay, with the same key and through another entry instance. The first may still be
// running.
func (r *Runner) repeat(ctx context.Context, c call, delay time.Duration) {
	if !wait.For(ctx, delay) {
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		r.stats.Overflow.Add(1)
		return
	}
	r.stats.Repeats.Add(1)
	c.first = 1
	r.sender.do(ctx, &c)
}

// ledger reads the ledger of the stand-ins.
func (r *Runner) ledger(ctx context.Context) (*standin.Report, error) {
	var out standin.Report
	err := getJSON(ctx, r.sender.http, ledgerTimeout, "http://"+r.cfg.Control.String()+standin.PathLedger, maxLedger, &out)
	return &out, errors.Wrap(err, "read the ledger of the stand-ins")
}
