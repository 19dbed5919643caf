package callerconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurebridge/transport/membudget"
)

// framing is how the end of an answer's body is marked.
type framing int

const (
	noBody framing = iota
	counted
	chunked
	untilClose // for HTTP/1.0
)

// errIncomplete means that the handler has written less than the Content-Length that it has set.
var errIncomplete = errors.New("the body is shorter than its Content-Length")

// response is the http.ResponseWriter of an exchange. The head is sent with the first part of the body, and not before all
// earlier answers of the connection have been sent. One goroutine uses it.
type response struct {
	exchange *exchange
	header   http.Header
	sent     bool // the head has been written
	framing  framing
	left     int64           // bytes of the body that are still due, when counted
	chunks   io.WriteCloser  // when chunked
	closes   bool            // the connection ends with this answer
	readOn   <-chan struct{} // until when the body is read on after the answer; nil for not at all
	err      error           // of an earlier write

	hasDeadline bool // SetWriteDeadline has been called
}

// Header returns the headers to be sent.
func (w *response) Header() http.Header {
	if w.header == nil {
		w.header = make(http.Header)
	}
	return w.header
}

// AwaitTurn waits until all earlier answers of the connection have been sent. It fails when ctx ends or the connection ends
// before. A request that must not run once an earlier answer has closed the connection calls it first.
func (w *response) AwaitTurn(ctx context.Context) error { return w.exchange.awaitTurn(ctx) }

// Memory returns the account of the connection in the process's memory budget, or nil when there is none.
func (w *response) Memory() *membudget.Account { return w.exchange.conn.account }

// ReadOn keeps the body of the request readable after the answer, until the channel is closed. The connection takes up no further
// request before. It is called before WriteHeader.
func (w *response) ReadOn(until <-chan struct{}) { w.readOn = until }

// SetReadDeadline sets until when the body of the request is read; the zero time sets no bound. Reading it fails afterwards with
// os.ErrDeadlineExceeded. It has the name that http.ResponseController looks for.
func (w *response) SetReadDeadline(at time.Time) error {
	if w.exchange.body == nil {
		return nil
	}
	return w.exchange.conn.SetReadDeadline(at)
}

// SetWriteDeadline sets until when the next parts of the answer must have been written; the answer is aborted otherwise.
func (w *response) SetWriteDeadline(at time.Time) error {
	w.hasDeadline = true
	return w.exchange.conn.SetWriteDeadline(at)
}

// FlushError sends what has been written so far. It has the name that http.ResponseController looks for.
func (w *response) FlushError() error {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.err = w.exchange.conn.writer.Flush()
	}
	return w.err
}

// WriteHeader writes the head of the answer.
func (w *response) WriteHeader(status int) {
	if w.sent {
		return
	}
	w.sent = true
	if w.err = w.exchange.awaitTurn(context.Background()); w.err != nil {
		return
	}
	w.chooseFraming(status)
	if w.framing == untilClose {
		w.exchange.conn.endWithReset(true) // until the body is complete
	}
	w.closes = w.exchange.closesWithAnswer(w.framing == untilClose || hasToken(w.Header(), "Connection", "close"))
	w.writeHead(status)
}

// chooseFraming decides how the end of the body is marked.
func (w *response) chooseFraming(status int) {
	r := w.exchange.request
	length, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64)
	switch {
	case r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified:
		w.framing = noBody
	case err == nil && length >= 0:
		w.framing, w.left = counted, length
	case r.ProtoAtLeast(1, 1):
		w.framing = chunked
	default:
		w.framing = untilClose
	}
}

func (w *response) writeHead(status int) {
	out := w.exchange.conn.writer
	h := w.Header()
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		delete(h, name)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	switch {
	case w.closes:
		h["Connection"] = []string{"close"}
	case !w.exchange.request.ProtoAtLeast(1, 1):
		h["Connection"] = []string{"keep-alive"}
	}
	if w.framing == chunked {
		h["Transfer-Encoding"] = []string{"chunked"}
		w.chunks = httputil.NewChunkedWriter(out)
	}
	_, _ = io.WriteString(out, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n") // finish reports errors
	_ = h.Write(out)
	_, _ = io.WriteString(out, "\r\n")
}

// Write writes a part of the body. It returns http.ErrContentLength for bytes beyond the Content-Length.
func (w *response) Write(b []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	n := 0
	switch w.framing {
	case noBody:
		return len(b), nil
	case counted:
		if int64(len(b)) > w.left {
			return 0, http.ErrContentLength
		}
		n, w.err = w.exchange.conn.writer.Write(b)
		w.left -= int64(n)
	case chunked:
		n, w.err = w.chunks.Write(b)
	case untilClose:
		n, w.err = w.exchange.conn.writer.Write(b)
	}
	return n, w.err
}

// finish completes the answer, and ends the sending side of the connection after the last one. An error means that the answer
// is not complete.
func (w *response) finish() error {
	if !w.sent {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.err != nil:
		return w.err
	case w.framing == counted && w.left > 0:
		return errIncomplete
	case w.framing == chunked:
		_ = w.chunks.Close() // finish reports errors
		_, _ = io.WriteString(w.exchange.conn.writer, "\r\n")
	}
	if err := w.exchange.conn.writer.Flush(); err != nil {
		return err
	}
	if w.framing == untilClose {
		w.exchange.conn.endWithReset(false)
	}
	if w.hasDeadline {
		_ = w.exchange.conn.SetWriteDeadline(time.Time{}) // fails only for a closed connection
	}
	if w.closes {
		w.exchange.conn.closeAfterAnswer()
	}
	w.exchange.readOn(w.readOn)
	w.exchange.endBody()
	return nil
}

// sendContinue tells the caller to send the body of its request.
func (w *response) sendContinue() error {
	if w.sent {
		return nil
	}
	out := w.exchange.conn.writer
	_, _ = io.WriteString(out, "HTTP/1.1 100 Continue\r\n\r\n") // Flush reports errors
	return out.Flush()
}

// hasToken reports whether a header contains a token of a comma-separated list.
func hasToken(h http.Header, name, token string) bool {
	for _, line := range h[name] {
		for _, field := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(field), token) {
				return true
			}
		}
	}
	return false
}
