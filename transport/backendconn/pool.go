// Package backendconn carries single HTTP/1.1 exchanges to backend servers. It keeps idle connections, finds those that
// the server has closed before it uses them, and tells for each failed exchange whether the request may have been run.
package backendconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

// Bounds of the pool.
const (
	maxIdlePerServer = 32
	maxIdle          = 1024
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// serverKey tells servers apart that have had one address after the other.
type serverKey struct {
	name    state.BackendName
	address string
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial  Dialer
	Stats Stats

	mu    sync.Mutex
	idle  map[serverKey][]*conn // newest last
	count int
}

// Stats counts connections.
type Stats struct {
	Opened     atomic.Uint64
	Reused     atomic.Uint64
	Stale      atomic.Uint64 // found closed by the server, or with bytes that belong to no request
	DialFailed atomic.Uint64
	Strays     atomic.Uint64 // answers that belong to another request
}

// NewPool returns an empty pool.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, idle: make(map[serverKey][]*conn)}
}

// get returns an idle connection that has been idle for at most the given time, or opens one.
func (p *Pool) get(ctx context.Context, key serverKey, most time.Duration) (*conn, error) {
	for {
		c := p.take(key)
		if c == nil {
			break
		}
		if c.fresh(most) {
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

func (p *Pool) take(key serverKey) *conn {
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

// put keeps a connection whose exchange is complete.
func (p *Pool) put(key serverKey, c *conn) {
	c.since, c.used = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerServer || p.count >= maxIdle {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
	p.count++
}

// Drop closes the idle connections to a server, for example after one of them went silent.
func (p *Pool) Drop(name state.BackendName, address string) {
	key := serverKey{name, address}
	for c := p.take(key); c != nil; c = p.take(key) {
		c.Close()
	}
}

// Sweep closes connections that have been idle for too long. Call it now and then.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.since) > c.idle-idleMargin {
				c.Close()
				p.count--
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}
