// Package backendconn makes single HTTP/1.1 exchanges with backend servers. It pools idle connections, detects those that the
// server has closed before it reuses them, and reports for each failed exchange whether the request may have run.
package backendconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Max numbers of idle connections in the pool.
const (
	maxIdlePerServer = 32
	maxIdleTotal     = 1024
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// serverKey identifies a server by name and address: an address may later belong to another server.
type serverKey struct {
	name    state.BackendName
	address string
}

// Pool holds idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial  Dialer
	Stats Stats

	trailing      atomic.Int64 // requests that have been answered while their bodies are being sent
	trailingBytes atomic.Int64 // of those bodies, if they are in memory and their callers' connections go on

	mu    sync.Mutex
	idle  map[serverKey][]*conn // newest last
	count int                   // of all idle connections
}

// Stats counts connections.
type Stats struct {
	Opened     atomic.Uint64
	Reused     atomic.Uint64
	Stale      atomic.Uint64 // idle for too long, closed by the server, or with bytes that belong to no request
	DialFailed atomic.Uint64
	Strays     atomic.Uint64 // answers that belong to another request
	Unnamed    atomic.Uint64 // answers that name no request, on a connection that has carried others
	// Trailing counts the successes before the body of the request had been sent, TrailingCut those whose body was not sent to its end.
	Trailing    atomic.Uint64
	TrailingCut atomic.Uint64
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, idle: make(map[serverKey][]*conn)}
}

// connect returns a connection for a request. Without an ID, its answer could not be told from a late one to an earlier request.
func (p *Pool) connect(ctx context.Context, key serverKey, r *Request) (*conn, error) {
	if r.ID == "" {
		return p.open(ctx, key)
	}
	return p.get(ctx, key, r)
}

// get returns an idle connection that is usable for the request, or opens one.
func (p *Pool) get(ctx context.Context, key serverKey, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(key)
		if c == nil {
			break
		}
		if c.usable(r) {
			p.Stats.Reused.Add(1)
			return c, nil
		}
		p.Stats.Stale.Add(1)
		c.Close()
	}
	return p.open(ctx, key)
}

func (p *Pool) open(ctx context.Context, key serverKey) (*conn, error) {
	c, err := p.dial(ctx, "tcp", key.address)
	if err != nil {
		p.Stats.DialFailed.Add(1)
		return nil, err
	}
	p.Stats.Opened.Add(1)
	return newConn(c), nil
}

// takeIdle removes the newest idle connection to the server from the pool and returns it, or nil when there is none.
func (p *Pool) takeIdle(key serverKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	p.count--
	if len(list) == 1 {
		delete(p.idle, key)
	}
	return c
}

// put adds a connection whose exchange is complete to the pool, or closes it when the pool is full.
func (p *Pool) put(key serverKey, c *conn) {
	c.idleSince, c.used = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerServer || p.count >= maxIdleTotal {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
	p.count++
}

// Drop closes the idle connections to a server, for example after one of them became unresponsive.
func (p *Pool) Drop(name state.BackendName, address string) {
	key := serverKey{name, address}
	for c := p.takeIdle(key); c != nil; c = p.takeIdle(key) {
		c.Close()
	}
}

// Sweep closes connections that have been idle for too long. Call it periodically.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		retained := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > c.idleTimeout-idleMargin {
				c.Close()
				p.count--
				continue
			}
			retained = append(retained, c)
		}
		if len(retained) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = retained
		}
	}
}
