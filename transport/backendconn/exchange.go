package backendconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"

	"azurebridge/state"
)

// Bounds of an exchange.
const (
	// dialTimeout bounds the opening of a connection: a round trip between regions takes under 100 ms.
	dialTimeout = 300 * time.Millisecond
	// maxStrays bounds the answers to other requests that are passed over on one connection.
	maxStrays = 4
	// maxWaitedBody is the size up to which a request's body is written before the answer is read, in bytes. The server may
	// answer before it has read a longer one.
	maxWaitedBody = 16 << 10
	// MaxBuffered is the size up to which an answer is read whole before it is passed on, in bytes.
	MaxBuffered = 1 << 20
)

// Dialect says how a platform's backend servers mark their answers.
type Dialect interface {
	// Inspect reads what the headers of an answer say.
	Inspect(h http.Header, status int) Marks
}

// Marks is what an answer's headers say about it.
type Marks struct {
	RequestID   string // of the request that it answers; empty when it names none
	Signed      bool   // the server vouches that the answer is its own
	NotRun      bool   // the server did not run the request
	WrongServer bool   // the address belongs to another server than the one that was meant
	HasLoad     bool
	Running     int // requests that the server runs
	Waiting     int // requests that wait at the server
	Slots       int
}

// Request is one request to one backend server.
type Request struct {
	Server  state.BackendName
	Address string
	ID      string // answers that name another request are passed over
	Head    []byte // request line and headers, with the empty line
	Body    []byte // the whole body, or its first bytes when there is a Rest
	Rest    io.Reader
	Chunked bool          // the body is sent in chunks, because its length is not known
	NoBody  bool          // the method is HEAD, so that the answer has no body
	MaxIdle time.Duration // an idle connection is used only when it has been idle for less
	// Withdrawn is asked once the connection is open, before anything is sent. When it returns true the exchange is given up.
	Withdrawn func() bool
}

// ErrWithdrawn is the cause of a failure whose request was withdrawn before anything was sent.
var ErrWithdrawn = errors.New("request withdrawn")

// Answer is a backend server's answer.
type Answer struct {
	Marks
	Status int
	Header http.Header
	Body   []byte        // whole when Rest is nil, else its first bytes
	Rest   io.ReadCloser // the rest of a body that is larger than MaxBuffered
}

// Failure is an exchange without a whole answer.
type Failure struct {
	Step   string
	Peer   string
	Sent   bool // bytes of the request were written, so that it may have run
	Reused bool // the connection had been idle
	Dialed bool // the failure is that no connection could be opened
	Err    error
}

// Error names the step and the peer.
func (f *Failure) Error() string { return f.Step + " " + f.Peer + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Do carries out one exchange. When ctx ends, the connection is closed at once, which cancels the request at the server.
// Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, d Dialect, r *Request) (*Answer, error) {
	key := serverKey{r.Server, r.Address}
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := p.get(dialing, key, r.MaxIdle)
	cancel()
	if err != nil {
		return nil, &Failure{Step: "connect", Peer: r.Address, Dialed: true, Err: err}
	}
	if r.Withdrawn() {
		c.Close()
		return nil, &Failure{Step: "send to", Peer: r.Address, Err: ErrWithdrawn}
	}
	reused := c.used
	stop := context.AfterFunc(ctx, func() { c.Close() })
	x := &exchange{pool: p, key: key, conn: c, dialect: d, request: r, stop: stop}
	a, err := x.run()
	if err == nil {
		return a, nil
	}
	stop()
	c.Close()
	f := err.(*Failure)
	f.Reused = reused
	if ctx.Err() != nil {
		f.Err = ctx.Err()
	}
	return nil, f
}

// exchange is one exchange in progress.
type exchange struct {
	pool    *Pool
	key     serverKey
	conn    *conn
	dialect Dialect
	request *Request
	stop    func() bool // detaches the connection from the caller's context
}

func (x *exchange) fail(step string, sent bool, err error) *Failure {
	return &Failure{Step: step, Peer: x.request.Address, Sent: sent, Err: err}
}

func (x *exchange) run() (*Answer, error) {
	if x.request.long() {
		go x.writeLong()
	} else if n, err := x.conn.Write(append(x.request.Head, x.request.Body...)); err != nil {
		return nil, x.fail("send to", n > 0, err)
	}
	resp, marks, err := x.readHead()
	if err != nil {
		return nil, err
	}
	a := &Answer{Marks: marks, Status: resp.StatusCode, Header: resp.Header}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBuffered+1))
	if err != nil {
		return nil, x.fail("read answer of", true, err)
	}
	if len(body) > MaxBuffered && !marks.Signed {
		return nil, x.fail("read answer of", true, errors.New("the body is long and not the server's own"))
	}
	a.Body = body
	if len(body) > MaxBuffered {
		a.Rest = &restReader{x: x, resp: resp}
		return a, nil
	}
	x.finish(resp)
	return a, nil
}

// long reports whether the body is written while the answer is read.
func (r *Request) long() bool { return r.Rest != nil || len(r.Body) > maxWaitedBody }

// writeLong writes a request with a long body, while the answer is read. What fails on the server's side ends the reading
// as well, so that only an error of the caller's side has to end the exchange.
func (x *exchange) writeLong() {
	source := &bodySource{Reader: bytes.NewReader(x.request.Body)}
	if x.request.Rest != nil {
		source.Reader = io.MultiReader(source.Reader, x.request.Rest)
	}
	if _, err := x.conn.Write(x.request.Head); err != nil {
		return
	}
	if !x.request.Chunked {
		_, _ = io.Copy(x.conn, source)
	} else if chunks := httputil.NewChunkedWriter(x.conn); copyAll(chunks, source) {
		_, _ = io.WriteString(x.conn, "\r\n")
	}
	if source.err != nil {
		x.conn.Close()
	}
}

// copyAll copies a body and closes the writer. It returns false when that fails.
func copyAll(w io.WriteCloser, r io.Reader) bool {
	if _, err := io.Copy(w, r); err != nil {
		return false
	}
	return w.Close() == nil
}

// bodySource notes an error of the caller's side, which io.Copy does not tell from one of the server's.
type bodySource struct {
	io.Reader
	err error
}

func (s *bodySource) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// readHead reads the head of the answer to this request, and passes over informational answers and late answers to
// earlier requests.
func (x *exchange) readHead() (*http.Response, Marks, error) {
	method := http.MethodGet
	if x.request.NoBody {
		method = http.MethodHead
	}
	for range maxStrays {
		resp, err := x.conn.readResponse(method)
		if err != nil {
			return nil, Marks{}, x.fail("read answer of", true, err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		marks := x.dialect.Inspect(resp.Header, resp.StatusCode)
		if marks.RequestID == "" || marks.RequestID == x.request.ID {
			return resp, marks, nil
		}
		x.pool.Stats.Strays.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBuffered+1)); err != nil || n > MaxBuffered || resp.Close {
			return nil, Marks{}, x.fail("pass over a stray answer of", true, errors.Errorf("for request %s", marks.RequestID))
		}
	}
	return nil, Marks{}, x.fail("read answer of", true, errors.New("too many answers to other requests"))
}

// finish returns the connection to the pool when the server keeps it open. After a long body it is closed: the server may
// have answered without having read all of it.
func (x *exchange) finish(resp *http.Response) {
	if !x.stop() {
		return // ctx ended just now, and the connection is closed
	}
	if x.request.long() || resp.Close || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.conn.learnIdle(resp.Header)
	x.pool.put(x.key, x.conn)
}

// restReader streams the rest of a large answer and closes the connection at the end.
type restReader struct {
	x    *exchange
	resp *http.Response
}

func (r *restReader) Read(b []byte) (int, error) { return r.resp.Body.Read(b) }

func (r *restReader) Close() error {
	r.x.stop()
	return r.x.conn.Close()
}

// Head returns the request line and headers of a request in wire form.
func Head(method, target, host string, h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}
