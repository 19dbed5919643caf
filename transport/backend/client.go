// Package backend is the HTTP client towards backend servers. It tells apart what is proved not to have run from what
// may have run.
package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/callers"
	"azurebridge/state"
)

// Bounds of backend connections.
const (
	// MaxIdleConn is how long an unused connection is kept. A connection that has gone silent without a sign therefore
	// receives no new work after that time; a new connection costs about 1 ms.
	MaxIdleConn = 500 * time.Millisecond
	// UnackedTimeout ends a connection whose sent data the other host does not acknowledge.
	UnackedTimeout = time.Second
	// KeepAliveInterval is the time between TCP keep-alive probes on a connection without traffic.
	KeepAliveInterval = 500 * time.Millisecond
	DialTimeout       = 500 * time.Millisecond
	MaxIdlePerServer  = 8        // connections
	MaxResponseHeader = 64 << 10 // bytes
	readBuffer        = 16 << 10 // bytes per connection
	// MinReceive and RoundTrip bound the kernel's receive buffer of a paced body: the buffer must hold what is sent
	// during a round trip between regions, 35 ms at most.
	MinReceive = 32 << 10 // bytes
	RoundTrip  = 50 * time.Millisecond
)

// Proof says what is known about a request that got no answer to pass on.
type Proof uint8

// What is known.
const (
	ProofAnswered Proof = iota // there is an answer
	ProofNotSent               // no byte was sent
	ProofRefused               // the backend server refused it before running it
	ProofNone                  // it may have run
)

// Counters counts requests to backend servers.
type Counters struct {
	Requests atomic.Uint64
	NotSent  atomic.Uint64
	Refused  atomic.Uint64
	NoProof  atomic.Uint64
}

// Client sends requests to backend servers. Its methods may be used by several goroutines.
type Client struct {
	pooled   *http.Transport
	single   *http.Transport // a fresh connection for each request
	Counters Counters
}

// Dialer opens connections; trials replace it to add delay.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client that opens connections with dial, or directly when dial is nil.
func New(dial Dialer) *Client {
	if dial == nil {
		dial = DialFrom(netip.Addr{})
	}
	base := http.Transport{
		DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: MaxIdlePerServer, MaxIdleConns: 0,
		IdleConnTimeout: MaxIdleConn, MaxResponseHeaderBytes: MaxResponseHeader,
		ReadBufferSize: readBuffer, ForceAttemptHTTP2: false,
	}
	single := base.Clone()
	single.DisableKeepAlives = true
	return &Client{pooled: base.Clone(), single: single}
}

// Call is one request to one backend server.
type Call struct {
	Server    *state.BackendServer
	Request   *http.Request // URL without host; Do fills it in
	FirstByte time.Duration // longest wait for the response header; 0 means no limit
	// Once forbids anything that could run the request twice. It uses a fresh connection, because a pooled one may
	// have gone silent, which would leave the outcome unknown.
	Once bool
	// Rate is the rate in bytes per second at which the body will be read; 0 means no limit. It bounds the kernel's
	// receive buffer, because what the buffer holds crosses the link at once, whatever rate is reserved.
	Rate int64
	// Cancel cancels the context that is passed to Do. The caller of Do calls it after the answer; Do calls it with
	// ErrFirstByte. When it is nil, Do makes a context of its own, which ends when the body is closed.
	Cancel context.CancelCauseFunc
}

// Do sends the request. With an error, the proof says whether it may have run. An answer that says that the request
// was refused before running comes with ProofRefused and no error. The caller closes the response body.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, Proof, error) {
	c.Counters.Requests.Add(1)
	if call.Cancel != nil {
		return c.do(ctx, call)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	call.Cancel = cancel
	resp, proof, err := c.do(ctx, call)
	if resp == nil {
		cancel(nil)
		return nil, proof, err
	}
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, proof, err
}

func (c *Client) do(ctx context.Context, call Call) (*http.Response, Proof, error) {
	cancel := call.Cancel
	var connected atomic.Bool
	req := call.Request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			boundReceive(info.Conn, call.Rate)
		},
	}))
	req.URL.Scheme, req.URL.Host = "http", call.Server.Address.String()
	transport := c.pooled
	if call.Once {
		transport = c.single
	}
	var timer *time.Timer
	if call.FirstByte > 0 {
		timer = time.AfterFunc(call.FirstByte, func() { cancel(ErrFirstByte) })
	}
	resp, err := transport.RoundTrip(req)
	if timer != nil {
		timer.Stop()
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if errors.Is(err, ErrFirstByte) {
			// What silenced this connection may have silenced the unused ones too. Closing those to other servers as
			// well costs about 1 ms each.
			c.CloseIdle()
		}
		if connected.Load() {
			c.Counters.NoProof.Add(1)
			return nil, ProofNone, errors.Wrapf(err, "request to backend server %s", call.Server.Name)
		}
		c.Counters.NotSent.Add(1)
		return nil, ProofNotSent, errors.Wrapf(err, "connect to backend server %s", call.Server.Name)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(callers.HeaderNotRun) != "" {
		c.Counters.Refused.Add(1)
		return resp, ProofRefused, nil
	}
	return resp, ProofAnswered, nil
}

// boundReceive bounds the receive buffer to what the rate needs over the longest round trip.
func boundReceive(c net.Conn, rate int64) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || rate <= 0 {
		return
	}
	bytes := max(MinReceive, int(float64(rate)*RoundTrip.Seconds()))
	_ = tcp.SetReadBuffer(bytes) // a larger buffer only makes the use of a link less even
}

// ErrFirstByte tells that no response header came in time.
var ErrFirstByte = errors.New("no response header in time")

// CloseIdle closes the unused connections to all servers, after one of them was found silent.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }
