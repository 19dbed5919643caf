package edge

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// withConn adds a caller's connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abort ends an answer early, so that it does not look complete, and does not return. With HTTP/1.0 an answer of unknown length ends with
// its connection, which is reset therefore.
func abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !r.ProtoAtLeast(1, 1) {
		reset(c)
	}
	panic(http.ErrAbortHandler)
}

// reset resets a connection. TLS would send a message that makes the end look orderly.
func reset(c net.Conn) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a connection that has been closed
	}
	c.Close()
}
