// Package connlimit bounds the open connections of a server of net/http.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Stats counts connections.
type Stats struct {
	Open      atomic.Int64
	Displaced atomic.Uint64 // connections without a request that were closed for new ones
	Evicted   atomic.Uint64 // connections whose request was ended for new ones
	Crowded   atomic.Uint64 // new connections that were closed because all others had requests in progress
}

// Limit is the bound of one server. The zero value sets none. It is safe for concurrent use.
type Limit struct {
	max   int
	evict func() bool
	Stats Stats

	mu   sync.Mutex
	open map[net.Conn]waiting
}

// waiting is what a connection waits for.
type waiting struct {
	request bool      // it has no request in progress
	since   time.Time // when it began to wait
}

// Bound bounds the connections of a server, which must not have a ConnState hook; 0 sets no bound. Beyond it the connection that has
// waited for a request for longest is closed for a new one. When there is none, evict is called, unless nil, to end a request in
// progress; the new connection is closed when it returns false.
func (l *Limit) Bound(s *http.Server, maxConns int, evict func() bool) {
	l.max, l.evict, l.open = maxConns, evict, make(map[net.Conn]waiting)
	s.ConnState = l.record
}

// record is the hook for the states of connections.
func (l *Limit) record(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	default:
		if _, known := l.open[c]; known || state == http.StateNew {
			l.open[c] = waiting{request: state != http.StateActive, since: time.Now()}
		}
		if state == http.StateNew && l.max > 0 && len(l.open) > l.max {
			l.makeRoom(c)
		}
	}
	l.Stats.Open.Store(int64(len(l.open)))
}

// makeRoom closes one connection, preferably another one than the newest. l.mu is held on entry.
func (l *Limit) makeRoom(newest net.Conn) {
	var longest net.Conn
	for c, w := range l.open {
		if c != newest && w.request && (longest == nil || w.since.Before(l.open[longest].since)) {
			longest = c
		}
	}
	switch {
	case longest != nil:
		l.Stats.Displaced.Add(1)
	case l.evict != nil && l.evict():
		l.Stats.Evicted.Add(1)
		return
	default:
		longest = newest
		l.Stats.Crowded.Add(1)
	}
	delete(l.open, longest)
	go longest.Close() // closing a TLS connection may wait for its peer
}
