package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxAhead bounds the requests on one connection whose answers are due.
const maxAhead = 64

// errAheadConnEnded means that the connection ended before the answer: a request before this one has failed, or its answer has closed
// the connection.
var errAheadConnEnded = errors.New("the connection ended before the answer")

// aheadTransport is an http.RoundTripper that sends the requests to an address on one connection, without waiting for the answers
// to earlier ones. The answers come in the order of the requests.
type aheadTransport struct {
	mu    sync.Mutex
	conns map[string]*aheadConn // by address
}

func newAheadTransport() *aheadTransport { return &aheadTransport{conns: make(map[string]*aheadConn)} }

// RoundTrip sends a request and waits for the head of its answer. When the request's context ends before, the connection is
// closed, because the answers behind it could not be told apart.
func (t *aheadTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c, err := t.conn(req.Context(), req.URL.Host)
	if err != nil {
		return nil, err
	}
	p := &aheadRequest{request: req, answer: make(chan aheadAnswer, 1)}
	if err := c.send(p); err != nil {
		return nil, err
	}
	select {
	case a := <-p.answer:
		return a.response, a.err
	case <-req.Context().Done():
		c.end()
		return nil, req.Context().Err()
	case <-c.ctx.Done():
		return p.lastAnswer()
	}
}

// conn returns the open connection to an address, or opens one.
func (t *aheadTransport) conn(ctx context.Context, address string) (*aheadConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil && c.ctx.Err() == nil {
		return c, nil
	}
	nc, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &aheadConn{Conn: nc, reader: bufio.NewReaderSize(nc, checkBuffer), due: make(chan *aheadRequest, maxAhead)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	go c.read()
	t.conns[address] = c
	return c, nil
}

// aheadRequest is a request whose answer is due.
type aheadRequest struct {
	request *http.Request
	answer  chan aheadAnswer // buffered
}

// lastAnswer returns the answer if it has been read before the connection ended.
func (p *aheadRequest) lastAnswer() (*http.Response, error) {
	select {
	case a := <-p.answer:
		return a.response, a.err
	default:
		return nil, errAheadConnEnded
	}
}

type aheadAnswer struct {
	response *http.Response
	err      error
}

// aheadConn is one connection. Its reader goroutine reads the answers in turn.
type aheadConn struct {
	net.Conn
	reader *bufio.Reader
	due    chan *aheadRequest
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc
	mu     sync.Mutex // held while a request is written, so that the order of due is that of the requests
}

// end closes the connection, which fails the requests whose answers are due.
func (c *aheadConn) end() {
	c.cancel()
	c.Conn.Close()
}

// send writes a request. It waits while maxAhead answers are due.
func (c *aheadConn) send(p *aheadRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.due <- p:
	case <-c.ctx.Done():
		return errAheadConnEnded
	case <-p.request.Context().Done():
		return p.request.Context().Err()
	}
	if err := p.request.Write(c.Conn); err != nil {
		c.end()
		return errors.Wrap(err, "write request")
	}
	return nil
}

// read reads answers until the connection ends.
func (c *aheadConn) read() {
	defer c.end()
	for {
		select {
		case p := <-c.due:
			if !c.readAnswer(p) {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// readAnswer hands over one answer and waits until its body has been read. It returns false when no further answer can be read.
func (c *aheadConn) readAnswer(p *aheadRequest) bool {
	resp, err := http.ReadResponse(c.reader, p.request)
	if err != nil {
		p.answer <- aheadAnswer{err: errors.Wrap(err, "read answer")}
		return false
	}
	body := &aheadBody{ReadCloser: resp.Body, ended: make(chan struct{})}
	resp.Body = body
	p.answer <- aheadAnswer{response: resp}
	select {
	case <-body.ended:
	case <-c.ctx.Done():
	}
	return body.whole && !resp.Close
}

// aheadBody is the body of an answer. The next answer is read once it has been read to its end.
type aheadBody struct {
	io.ReadCloser
	once  sync.Once
	whole bool          // read to its end; set before ended is closed
	ended chan struct{} // closed at the end of the body, or when the caller closes it
}

func (b *aheadBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close gives up the rest of the body, and with it the connection.
func (b *aheadBody) Close() error {
	b.finish(false)
	return nil
}

func (b *aheadBody) finish(whole bool) {
	b.once.Do(func() {
		b.whole = whole
		close(b.ended)
	})
}
