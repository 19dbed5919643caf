package backendconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// Bounds of an exchange.
const (
	// dialTimeout bounds the opening of a connection: a round trip between regions takes under 100 ms.
	dialTimeout = 300 * time.Millisecond
	// maxAnswerHeads bounds the answer heads read for one request, including informational answers and answers to other requests.
	maxAnswerHeads = 4
	// maxShortBody is the size up to which a request's body is written before the answer is read, in bytes. The server may
	// answer a request with a longer body before it has read all of it.
	maxShortBody = 16 << 10
	// MaxBuffered is the size up to which an answer's body is read whole before Do returns it, in bytes.
	MaxBuffered = 1 << 20
)

// Dialect translates the headers with which a platform's backend servers mark their answers.
type Dialect interface {
	// Inspect reads the marks in the headers of an answer.
	Inspect(h http.Header, status int) Marks
}

// Marks holds what an answer's headers state about it.
type Marks struct {
	RequestID   string // of the request that it answers; empty when the headers state none
	Ambiguous   bool   // the headers state two IDs of requests
	Signed      bool   // the server has marked the answer as its own
	NotRun      bool   // the server did not run the request
	WrongServer bool   // the address belongs to a server other than the intended one
	Leaving     bool   // the server leaves; its process must get no further requests
	HasLoad     bool   // Running, Waiting and Slots are set
	Running     int    // requests that the server runs
	Waiting     int    // requests that wait at the server
	Slots       int
	Slowness    float64 // work time on the server now, as a multiple of the usual; 0 when the headers state none
	// Pause is the time for which the server asks the sender for no requests; 0 when it does not ask. BadPause means that the
	// headers state one that is no time.
	Pause    time.Duration
	BadPause bool
	// Limit is the number of requests/s that the server takes from all instances together; 0 when it names none. BadLimit means
	// that the headers state one that is no number, or one beyond the bounds, which is then reduced to them.
	Limit    float64
	BadLimit bool
}

// Request is one request to one backend server.
type Request struct {
	Server  state.BackendName
	Address string
	ID      string // answers with the ID of another request are skipped; a request without an ID gets a connection of its own
	Head    []byte // request line and headers, with the empty line
	Body    []byte // the whole body, or its first bytes when there is a Rest
	Rest    io.Reader
	Chunked bool          // the body is sent in chunks, because its length is not known
	NoBody  bool          // the method is HEAD, so that the answer has no body
	MaxIdle time.Duration // max idle time of a connection that is reused for the request
	// Memory is where the answer's body is reserved; nil sets no bound.
	Memory *membudget.Hold
	// Withdrawn is called once the connection is open, before anything is sent. When it returns true, Do closes the connection
	// and fails with ErrWithdrawn.
	Withdrawn func() bool
}

// ErrWithdrawn is the cause of a failure whose request was withdrawn before anything was sent.
var ErrWithdrawn = errors.New("request withdrawn")

// errEarlyBytes means that the server has sent bytes on a new connection, or closed it, before the request was sent.
var errEarlyBytes = errors.New("bytes or the end of the connection before the request was sent")

// errUnnamedAnswer means that an answer on a connection that has carried other requests does not name the one it answers.
var errUnnamedAnswer = errors.New("the answer names no request, and the connection has carried others")

// Answer is a backend server's answer.
type Answer struct {
	Marks
	Status int
	Header http.Header
	Body   []byte        // whole when Rest is nil, else its first bytes
	Rest   io.ReadCloser // the rest of a body that is larger than MaxBuffered, or than the memory that is left
	// Connect is how long it took to open the connection; 0 when one was reused.
	Connect time.Duration
	// Sending is closed when the rest of the request's body has been sent or given up, which the caller's connection is needed for;
	// nil when it is not needed. The server has answered early then.
	Sending <-chan struct{}
	// Unsent is closed when the request's body is no longer needed; nil when it is not needed any more.
	Unsent <-chan struct{}
}

// Failure is an exchange without a whole answer.
type Failure struct {
	Step   string
	Peer   string
	Sent   bool // bytes of the request were written, so that it may have run
	Reused bool // the connection had been idle
	Dialed bool // no connection could be opened
	Err    error
}

// Error names the step and the peer.
func (f *Failure) Error() string { return f.Step + " " + f.Peer + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Do runs one exchange. When ctx ends, the connection is closed at once, which cancels the request at the server.
// Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, d Dialect, r *Request) (*Answer, error) {
	key := serverKey{r.Server, r.Address}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	dialed := time.Now()
	c, err := p.connect(dialCtx, key, r)
	cancel()
	connect := time.Since(dialed)
	if err != nil {
		return nil, &Failure{Step: "connect", Peer: r.Address, Dialed: true, Err: err}
	}
	if r.Withdrawn() {
		c.Close()
		return nil, &Failure{Step: "send to", Peer: r.Address, Err: ErrWithdrawn}
	}
	reused := c.used
	if !reused && c.readable() { // of one that is reused, usable has checked it
		c.Close()
		return nil, &Failure{Step: "send to", Peer: r.Address, Err: errEarlyBytes}
	}
	c.remember(r.ID)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	x := &exchange{pool: p, key: key, conn: c, dialect: d, request: r, stop: stop}
	a, err := x.run()
	if err == nil {
		if !reused {
			a.Connect = connect
		}
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
	stop    func() bool // detaches the connection from ctx; false when ctx has already ended
	body    *longBody   // nil for a short body
	// inMemory is the size of a body that is counted in Pool.trailingBytes.
	inMemory int64
}

// failure returns an error with the failed step and whether bytes of the request were sent.
func (x *exchange) failure(step string, sent bool, err error) *Failure {
	return &Failure{Step: step, Peer: x.request.Address, Sent: sent, Err: err}
}

// run sends the request and reads the answer, or its first bytes when its body is larger than MaxBuffered.
func (x *exchange) run() (*Answer, error) {
	long := x.request.hasLongBody()
	first := x.request.Head // sent before the answer is read: what arrives earlier is no answer
	if !long {
		first = append(first, x.request.Body...)
	}
	if n, err := x.conn.Write(first); err != nil {
		return nil, x.failure("send to", n > 0, err)
	}
	if long {
		x.body = startLongBody(x.conn, x.request)
	}
	resp, marks, err := x.readHead()
	if err != nil {
		return nil, err
	}
	a := &Answer{Marks: marks, Status: resp.StatusCode, Header: resp.Header}
	if err := x.readBody(a, resp); err != nil {
		return nil, x.failure("read answer of", true, err)
	}
	a.NotRun = a.NotRun && x.provesNotRun(resp, marks, a.Rest == nil)
	a.Sending, a.Unsent = x.sending(resp), x.unsent(resp)
	if a.Rest != nil {
		return a, nil
	}
	x.release(resp)
	return a, nil
}

// provesNotRun reports whether a rejection is complete and authentic: it names the request, unless the address belongs to another
// server, and its length is known, so that it cannot have been cut off unnoticed.
func (x *exchange) provesNotRun(resp *http.Response, marks Marks, whole bool) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || x.request.NoBody
	return whole && framed && (marks.WrongServer || marks.RequestID == x.request.ID)
}

// hasLongBody reports whether the body is written while the answer is read.
func (r *Request) hasLongBody() bool { return r.Rest != nil || len(r.Body) > maxShortBody }

// readHead reads the head of the answer to this request. It skips informational answers and late answers to earlier requests.
func (x *exchange) readHead() (*http.Response, Marks, error) {
	method := http.MethodGet
	if x.request.NoBody {
		method = http.MethodHead
	}
	for range maxAnswerHeads {
		resp, err := x.conn.readResponse(method)
		if err != nil {
			return nil, Marks{}, x.failure("read answer of", true, err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		marks := x.dialect.Inspect(resp.Header, resp.StatusCode)
		if marks.Ambiguous {
			return nil, Marks{}, x.failure("read answer of", true, errors.New("the answer names two requests"))
		}
		if marks.RequestID == x.request.ID || marks.RequestID == "" && !x.conn.used {
			return resp, marks, nil
		}
		if marks.RequestID == "" {
			// It may be a late copy of an answer to an earlier request on the connection.
			x.pool.Stats.Unnamed.Add(1)
			return nil, Marks{}, x.failure("read answer of", true, errUnnamedAnswer)
		}
		x.pool.Stats.Strays.Add(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBuffered+1)); err != nil || n > MaxBuffered || resp.Close {
			return nil, Marks{}, x.failure("skip an unexpected answer of", true, errors.Errorf("for request %s", marks.RequestID))
		}
	}
	return nil, Marks{}, x.failure("read answer of", true, errors.New("too many informational answers or answers to other requests"))
}

// release returns the connection to the pool when the server keeps it open. After a request with a long body the connection is
// closed, once the body has been sent: the server may have answered without having read all of it.
func (x *exchange) release(resp *http.Response) {
	if !x.stop() {
		if x.body != nil {
			x.endBody()
		}
		return // ctx has ended, which closes the connection
	}
	if x.body != nil {
		x.finishBody(resp.StatusCode)
		return
	}
	if resp.Close || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.conn.setIdleTimeout(resp.Header)
	x.pool.put(x.key, x.conn)
}

// restReader streams the rest of a large answer. Close closes the connection, after a whole answer once the request's body has been
// sent.
type restReader struct {
	io.Reader
	x      *exchange
	resp   *http.Response
	whole  bool
	closed bool
}

func (r *restReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.whole = r.whole || err == io.EOF
	return n, err
}

func (r *restReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if r.x.body != nil && r.whole {
		r.x.release(r.resp)
		return nil
	}
	r.x.stop()
	if r.x.body != nil {
		r.x.endBody()
	}
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
