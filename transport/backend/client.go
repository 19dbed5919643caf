// Package backend is the HTTP client for backend servers. It distinguishes requests that have provably not run from those
// that may have run.
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
	// IdleConnTimeout is how long an idle connection is retained. A connection that became unresponsive without an error
	// therefore gets no new requests after that time; a new connection costs about 1 ms.
	IdleConnTimeout = 500 * time.Millisecond
	// UnackedTimeout ends a connection whose sent data the other host does not acknowledge.
	UnackedTimeout = time.Second
	// KeepAliveInterval is the time between TCP keep-alive probes on a connection without traffic.
	KeepAliveInterval = 500 * time.Millisecond
	DialTimeout       = 500 * time.Millisecond
	MaxIdlePerServer  = 8        // connections
	MaxResponseHeader = 64 << 10 // bytes
	readBuffer        = 16 << 10 // bytes per connection
	// MinReceiveBuffer and MaxRoundTrip set the kernel's receive buffer of a paced body: the buffer must hold what is sent
	// during a round trip between regions, which takes at most 35 ms.
	MinReceiveBuffer = 32 << 10 // bytes
	MaxRoundTrip     = 50 * time.Millisecond
)

// Proof states whether a request was answered or, if not, whether it may have run.
type Proof uint8

// Values of Proof. A request may have run only with ProofAnswered and ProofNone.
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
	unpooled *http.Transport // a new connection for each request
	Counters Counters
}

// Dialer opens connections; trials replace it to add delay.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// dialChecked opens a connection that tells a reset from the end of the stream and checks the heads of answers.
func (d Dialer) dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return checkHeads(DetectResets(c)), nil
}

// New returns a client that opens connections with dial, or directly when dial is nil.
func New(dial Dialer) *Client {
	if dial == nil {
		dial = DialFrom(netip.Addr{})
	}
	base := http.Transport{
		DialContext: dial.dialChecked, DisableCompression: true, MaxIdleConnsPerHost: MaxIdlePerServer, MaxIdleConns: 0,
		IdleConnTimeout: IdleConnTimeout, MaxResponseHeaderBytes: MaxResponseHeader,
		ReadBufferSize: readBuffer, ForceAttemptHTTP2: false,
	}
	unpooled := base.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: base.Clone(), unpooled: unpooled}
}

// Call is one request to one backend server.
type Call struct {
	Server    *state.BackendServer
	Request   *http.Request // URL without host; Do fills it in
	FirstByte time.Duration // max wait for the response header; 0 means no limit
	// Once forbids anything that could run the request twice. It uses a new connection, because a pooled one may be
	// unresponsive, which would leave the outcome unknown.
	Once bool
	// Rate is the rate in bytes per second at which the response body will be read; 0 means no limit. It bounds the kernel's
	// receive buffer, because as many bytes as the buffer holds cross the link at once, whatever rate is reserved.
	Rate int64
	// Cancel cancels the context that is passed to Do. The caller of Do calls it after the answer; Do calls it with
	// ErrFirstByte when FirstByte has passed. When it is nil, Do creates a context, which ends when the body is closed.
	Cancel context.CancelCauseFunc
}

// Do sends the request. With an error, the Proof states whether the request may have run. A response which states that the
// request was refused before it ran comes with ProofRefused and no error. The caller closes the response body.
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
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, proof, err
}

func (c *Client) do(ctx context.Context, call Call) (*http.Response, Proof, error) {
	cancel := call.Cancel
	var conn atomic.Pointer[headConn] // the last one that the request got
	req := call.Request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*headConn)
			conn.Store(c)
			c.expectHead()
			limitReceiveBuffer(c, call.Rate)
		},
	}))
	req.URL.Scheme, req.URL.Host = "http", call.Server.Address.String()
	transport := c.pooled
	if call.Once {
		transport = c.unpooled
	}
	var timer *time.Timer
	if call.FirstByte > 0 {
		timer = time.AfterFunc(call.FirstByte, func() { cancel(ErrFirstByte) })
	}
	resp, err := transport.RoundTrip(req)
	if timer != nil {
		timer.Stop()
	}
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		err = errUnaskedProtocol
	}
	if err != nil {
		used := conn.Load()
		if used != nil && used.headError() != nil {
			err = used.headError() // clearer than what net/http reports of a part of the head
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if errors.Is(err, ErrFirstByte) {
			// The fault that made this connection unresponsive may affect the idle ones, too. CloseIdle also closes those to
			// other servers, which costs about 1 ms each.
			c.CloseIdle()
		}
		if used != nil {
			c.Counters.NoProof.Add(1)
			return nil, ProofNone, errors.Wrapf(err, "request to backend server %s", call.Server.Name)
		}
		c.Counters.NotSent.Add(1)
		return nil, ProofNotSent, errors.Wrapf(err, "connect to backend server %s", call.Server.Name)
	}
	if refused(resp) {
		c.Counters.Refused.Add(1)
		return resp, ProofRefused, nil
	}
	return resp, ProofAnswered, nil
}

// refused reports whether a backend server has rejected a request without running it.
func refused(resp *http.Response) bool {
	values := resp.Header[callers.HeaderNotRun]
	return resp.StatusCode == http.StatusServiceUnavailable && len(values) == 1 && values[0] != ""
}

// limitReceiveBuffer limits the kernel's receive buffer to the bytes that arrive at the rate during MaxRoundTrip, and at least
// MinReceiveBuffer. A rate of 0 sets no limit.
func limitReceiveBuffer(c *headConn, rate int64) {
	if rate <= 0 {
		return
	}
	size := max(MinReceiveBuffer, int(float64(rate)*MaxRoundTrip.Seconds()))
	_ = c.SetReadBuffer(size) // if this fails, the larger buffer only makes the use of the link less even
}

// errUnaskedProtocol means that a server wants to go on in another protocol, which no request asks for.
var errUnaskedProtocol = errors.New("the answer switches the protocol")

// ErrFirstByte means that no response header arrived within Call.FirstByte.
var ErrFirstByte = errors.New("no response header in time")

// CloseIdle closes the idle connections to all servers. Call it after one of them was found unresponsive.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }
