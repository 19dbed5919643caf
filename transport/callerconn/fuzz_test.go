package callerconn

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// scriptedConn is a connection whose caller sends the given bytes in pieces, waits for the answers, and ends its sending side.
type scriptedConn struct {
	net.Conn
	served *conn // the server's side
	pieces [][]byte
	woken  atomic.Bool // a read deadline in the past is set

	mu      sync.Mutex
	written bytes.Buffer
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	for len(c.pieces) == 0 {
		if c.woken.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		if !c.awaitsAnswer() {
			return 0, io.EOF
		}
		time.Sleep(20 * time.Microsecond)
	}
	n := copy(b, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

// awaitsAnswer reports whether answers are due that do not depend on further bytes of the caller.
func (c *scriptedConn) awaitsAnswer() bool {
	c.served.mu.Lock()
	defer c.served.mu.Unlock()
	if len(c.served.queue) == 0 {
		return false
	}
	first := c.served.queue[0]
	return first.body == nil || first.body.whole.Load() || !first.started.Load()
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	c.woken.Store(t.Equal(past))
	return nil
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Write(b)
}

func (c *scriptedConn) Close() error { return nil }

// exchangeAll serves one connection on which the pieces arrive, and returns what the caller gets but for the Date headers.
func exchangeAll(pieces [][]byte) string {
	clock := func() state.Instant { return 1 }
	budget := membudget.New(10<<20, clock)
	s := NewServer(Options{
		Clock: clock, Log: hclog.NewNullLogger(), MaxHeader: 8 << 10, MaxAhead: 40, Budget: budget,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "%s %q %q", r.Method, r.RequestURI, body)
		}),
	})
	c := &scriptedConn{pieces: pieces}
	c.served = s.add(c)
	c.served.serve()
	if used := budget.Stats.Used.Load(); used != 0 {
		panic(fmt.Sprintf("%d bytes stay reserved after the connection has ended", used))
	}
	return regexp.MustCompile(`Date: [^\r]*\r\n`).ReplaceAllString(c.written.String(), "")
}

// split returns data in pieces whose lengths follow from the cuts, in turn.
func split(data, cuts []byte) [][]byte {
	if len(cuts) == 0 {
		return [][]byte{data}
	}
	var pieces [][]byte
	for i := 0; len(data) > 0; i++ {
		n := min(len(data), 1+int(cuts[i%len(cuts)]))
		pieces = append(pieces, data[:n])
		data = data[n:]
	}
	return pieces
}

// Guards against requests that are read differently when they arrive in pieces: a body that becomes a request, or a request
// that is lost.
func FuzzSplitReads(f *testing.F) {
	f.Add([]byte(get("/a")+get("/b")), []byte{0})
	f.Add([]byte(get("/a")+post("/b", get("/c"))+get("/d")), []byte{3, 20})
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"+get("/b")), []byte{7})
	f.Add([]byte(get("/a")+"nonsense\r\n\r\n"+get("/b")), []byte{1})
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"+get("/b")), []byte{11})
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nshort"), []byte{200})
	f.Add([]byte(get("/a")+"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"+get("/c")), []byte{30})
	f.Fuzz(func(t *testing.T, data, cuts []byte) {
		if whole, pieces := exchangeAll(split(data, nil)), exchangeAll(split(data, cuts)); whole != pieces {
			t.Fatalf("whole: %q\nin pieces: %q", whole, pieces)
		}
	})
}
