package callerconn

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// malformedHead is the reason for requests whose head cannot be parsed.
const malformedHead = "malformed request line or header"

// crowdedReason is the reason for the request of a connection that the server has no room for.
const crowdedReason = "too many connections, or no memory for another one"

// rejection is the reason for which a request is answered without the handler.
type rejection struct {
	status int
	reason string
	count  *atomic.Uint64 // of such requests
}

// Error returns the reason.
func (r *rejection) Error() string { return r.reason }

// readRequest reads the head of the next request. Errors other than a *rejection end the connection.
func (c *conn) readRequest() (*http.Request, error) {
	stats := &c.server.Stats
	c.source.beginHead(int64(c.server.opts.MaxHeader))
	r, err := http.ReadRequest(c.reader)
	c.source.endHead()
	switch {
	case err == nil:
		if rejected := validate(r); rejected != nil {
			rejected.count = &stats.Malformed
			return r, rejected
		}
		return r, nil
	case c.source.err != nil:
		return nil, c.source.err
	case isTimeout(err):
		return nil, err
	case errors.Is(err, errHeadTooLarge):
		return nil, &rejection{http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge.Error(), &stats.Malformed}
	case errors.Is(err, errNoMemory):
		return nil, &rejection{http.StatusServiceUnavailable, errNoMemory.Error(), &stats.NoMemory}
	}
	// err quotes the line, which may hold a customer's key.
	return nil, &rejection{http.StatusBadRequest, malformedHead, &stats.Malformed}
}

// validate rejects what another server might read differently than this one.
func validate(r *http.Request) *rejection {
	switch {
	case r.ProtoMajor != 1:
		return &rejection{status: http.StatusHTTPVersionNotSupported, reason: "unsupported version " + r.Proto}
	case r.Method == http.MethodConnect:
		return &rejection{status: http.StatusBadRequest, reason: "unsupported method"}
	case r.ProtoAtLeast(1, 1) && r.Host == "":
		return &rejection{status: http.StatusBadRequest, reason: "missing host"}
	case !httpguts.ValidHostHeader(r.Host):
		return &rejection{status: http.StatusBadRequest, reason: "malformed host"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &rejection{status: http.StatusBadRequest, reason: "invalid header name"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &rejection{status: http.StatusBadRequest, reason: "invalid header value"}
			}
		}
	}
	return nil
}

// withoutQuote replaces an error that quotes a malformed line of the caller, such as a trailer, which may hold a customer's key.
func withoutQuote(err error) error {
	var quoting textproto.ProtocolError
	if errors.As(err, &quoting) {
		return errMalformedBody
	}
	return err
}

var errMalformedBody = errors.New("malformed trailer or chunk")

// lastOfConnection reports whether the caller sends no request after this one.
func lastOfConnection(r *http.Request) bool { return r.Close }

// expectsContinue reports whether the caller waits for an interim answer before it sends the body.
func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && strings.EqualFold(strings.TrimSpace(r.Header.Get("Expect")), "100-continue")
}

// body is the body of a request. The connection is read on when the body has been read to its end, or is given up.
type body struct {
	source      io.Reader
	sendInterim func() error  // before the first read; nil when the caller does not wait for it
	ended       chan struct{} // closed at the end of the body, or when it is given up
	whole       atomic.Bool   // it has been read to its end
	count       atomic.Int64  // bytes that have been read

	mu   sync.Mutex
	done bool
	err  error
}

func newBody(r io.Reader) *body { return &body{source: r, ended: make(chan struct{})} }

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.done {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.sendInterim != nil {
		if b.err = b.sendInterim(); b.err != nil {
			return 0, b.err
		}
		b.sendInterim = nil
	}
	n, err := b.source.Read(p)
	b.count.Add(int64(n))
	if err != nil {
		err = withoutQuote(err)
		b.err = err
		b.whole.Store(err == io.EOF)
		b.end()
	}
	return n, err
}

// Close does nothing: giveUp ends the body.
func (b *body) Close() error { return nil }

// giveUp ends the reading of the body. It waits for a read in progress.
func (b *body) giveUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end()
}

// end marks the body as ended. b.mu is held on entry.
func (b *body) end() {
	if !b.done {
		b.done = true
		close(b.ended)
	}
}
