package backendconn

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"
)

// Bounds of a long body after the server has answered with success.
const (
	// maxBodyStall is how long neither the caller may send nor the server accept a byte of the rest. It is the usual idle timeout of
	// callers' connections.
	maxBodyStall = 15 * time.Second
	// maxTrailingTime bounds the sending of the rest. A body of 64 MiB takes 54 s over the slowest link, 10 Mbit/s.
	maxTrailingTime = 5 * time.Minute
	// maxTrailingBytes bounds the bodies in memory that are sent on while their callers' connections go on. Beyond it, the caller's
	// next request waits for the body.
	maxTrailingBytes = 16 << 20
	// bodyLinger is how long a connection stays open for reading after the rest has been sent, unless the server closes it: closing
	// it before the server has read the body would lose the rest if the server sent further bytes.
	bodyLinger = 5 * time.Second
	// maxLingerBytes bounds the bytes read and dropped meanwhile.
	maxLingerBytes = 64 << 10
)

// longBody sends a request's long body while the answer is read. The server may answer before it has read all of the body.
type longBody struct {
	conn     *conn
	request  *Request
	progress atomic.Int64  // bytes read from the caller and written to the server
	written  chan struct{} // closed when nothing more is written
	whole    bool          // the body has been written to its end; valid once written is closed
	ended    chan struct{} // closed when the connection is no longer needed for the body
}

func startLongBody(c *conn, r *Request) *longBody {
	b := &longBody{conn: c, request: r, written: make(chan struct{}), ended: make(chan struct{})}
	go b.write()
	return b
}

// write sends the body. A failure on the server's side also ends the reading of the answer, so that only an error on the caller's
// side has to close the connection here.
func (b *longBody) write() {
	defer close(b.written)
	source := &bodySource{Reader: bytes.NewReader(b.request.Body), progress: &b.progress}
	if b.request.Rest != nil {
		source.Reader = io.MultiReader(source.Reader, b.request.Rest)
	}
	to := progressWriter{b.conn, &b.progress}
	if !b.request.Chunked {
		_, err := io.Copy(to, source)
		b.whole = err == nil
	} else if chunks := httputil.NewChunkedWriter(to); copyAll(chunks, source) {
		_, err := io.WriteString(to, "\r\n")
		b.whole = err == nil
	}
	if source.err != nil {
		b.conn.Close()
	}
}

// copyAll copies a body and closes the writer. It returns false when either fails.
func copyAll(w io.WriteCloser, r io.Reader) bool {
	if _, err := io.Copy(w, r); err != nil {
		return false
	}
	return w.Close() == nil
}

// bodySource records an error on the caller's side, which io.Copy does not distinguish from one on the server's side.
type bodySource struct {
	io.Reader
	progress *atomic.Int64
	err      error
}

func (s *bodySource) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.progress.Add(int64(n))
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// progressWriter counts the bytes that are written.
type progressWriter struct {
	io.Writer
	progress *atomic.Int64
}

func (w progressWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.progress.Add(int64(n))
	return n, err
}

// isWritten reports whether nothing more is being written.
func (b *longBody) isWritten() bool {
	select {
	case <-b.written:
		return true
	default:
		return false
	}
}

// awaitWritten waits until the body has been written to its end, and returns false when it cannot be within the bounds.
func (b *longBody) awaitWritten() bool {
	start, last := time.Now(), b.progress.Load()
	ticker := time.NewTicker(maxBodyStall)
	defer ticker.Stop()
	for {
		select {
		case <-b.written:
			return b.whole
		case <-ticker.C:
			now := b.progress.Load()
			if now == last || time.Since(start) > maxTrailingTime {
				return false
			}
			last = now
		}
	}
}

// finishBody ends the connection of an exchange with a long body after the answer. After a success the body is sent to its end
// first; an error answer of the server ends it.
func (x *exchange) finishBody(status int) {
	if x.body.isWritten() || status >= http.StatusBadRequest {
		x.conn.Close()
		x.endBody()
		return
	}
	x.pool.Stats.Trailing.Add(1)
	x.pool.trailing.Add(1)
	go x.sendRest()
}

// sendRest sends the body to its end and closes the connection.
func (x *exchange) sendRest() {
	whole := x.body.awaitWritten()
	if !whole {
		x.pool.Stats.TrailingCut.Add(1)
		x.conn.Close()
	}
	x.endBody()
	x.pool.trailing.Add(-1)
	if !whole {
		return
	}
	if x.conn.SetReadDeadline(time.Now().Add(bodyLinger)) == nil {
		_, _ = io.CopyN(io.Discard, x.conn.reader, maxLingerBytes) // until the server closes, the deadline or the bound
	}
	x.conn.Close()
}

// endBody records that the connection is no longer needed for the body.
func (x *exchange) endBody() {
	x.pool.trailingBytes.Add(-x.inMemory)
	close(x.body.ended)
}

// sending returns what Answer.Sending is for the exchange. A body in memory needs no caller, within the bound of all such bodies.
func (x *exchange) sending(resp *http.Response) <-chan struct{} {
	if x.body == nil || x.body.isWritten() || resp.StatusCode >= http.StatusBadRequest || resp.Close {
		return nil // a server that closes the connection need not read on
	}
	if x.request.Rest != nil {
		return x.body.ended
	}
	size := int64(len(x.request.Body))
	if x.pool.trailingBytes.Add(size) > maxTrailingBytes {
		x.pool.trailingBytes.Add(-size)
		return x.body.ended
	}
	x.inMemory = size
	return nil
}

// unsent returns what Answer.Unsent is for the exchange.
func (x *exchange) unsent(resp *http.Response) <-chan struct{} {
	if x.body == nil || x.body.isWritten() || resp.StatusCode >= http.StatusBadRequest {
		return nil
	}
	return x.body.ended
}

// Trailing returns the number of requests that have been answered while their bodies are still being sent.
func (p *Pool) Trailing() int { return int(p.trailing.Load()) }
