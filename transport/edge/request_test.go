package edge_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against requests that the edge and a backend server could interpret differently, against spoofed internal fields,
// and against a malformed request reaching a backend server.
func TestBadRequests(t *testing.T) {
	var reached atomic.Int32
	service := state.Service{Kind: state.KindLookup}
	f := newTestEdge(t, service, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reached.Add(1)
	})
	const head = " /tapes/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\n"
	long := strings.Repeat("a", 200)
	for name, c := range map[string]struct {
		raw     string
		status  int
		counted bool // answered by the edge itself, with problem details
	}{
		"two lengths":             {"POST" + head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 400, false},
		"signed length":           {"POST" + head + "Content-Length: +4\r\n\r\nabcd", 400, false},
		"unknown coding":          {"POST" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, false},
		"space before colon":      {"POST" + head + "Content-Length : 4\r\n\r\nabcd", 400, false},
		"bare CR in value":        {"GET" + head + "X-A: b\rAzb-Internal-Grant: 1\r\n\r\n", 400, false},
		"NUL in value":            {"GET" + head + "X-A: b\x00\r\n\r\n", 400, false},
		"two hosts":               {"GET" + head + "Host: y\r\n\r\n", 400, false},
		"header too large":        {"GET" + head + "X-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431, false},
		"body too large":          {"POST" + head + "Content-Length: 99999999999\r\n\r\n", 413, true},
		"unknown service":         {"GET /nothing/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\n\r\n", 404, true},
		"no customer":             {"GET /tapes/1 HTTP/1.1\r\nHost: x\r\n\r\n", 403, true},
		"unknown customer":        {"GET /tapes/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: d\r\n\r\n", 403, true},
		"two customers":           {"GET" + head + "Azb-Customer: c\r\n\r\n", 403, true},
		"internal field":          {"GET" + head + "azb-internal-grant: 1\r\n\r\n", 400, true},
		"not-run field":           {"GET" + head + "Azb-Not-Run: 1\r\n\r\n", 400, true},
		"submission-key field":    {"GET" + head + "Azb-Submission-Key: k\r\n\r\n", 400, true},
		"customer in Connection":  {"GET" + head + "Connection: Azb-Customer\r\n\r\n", 400, true},
		"key with space":          {"GET" + head + "Idempotency-Key: a b\r\n\r\n", 400, true},
		"key too long":            {"GET" + head + "Idempotency-Key: " + long + "\r\n\r\n", 400, true},
		"two keys":                {"GET" + head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, true},
		"deadline not a number":   {"GET" + head + "Azb-Deadline-Ms: 1s\r\n\r\n", 400, true},
		"deadline zero":           {"GET" + head + "Azb-Deadline-Ms: 0\r\n\r\n", 400, true},
		"two deadlines":           {"GET" + head + "Azb-Deadline-Ms: 5\r\nAzb-Deadline-Ms: 6\r\n\r\n", 400, true},
		"path outside of service": {"GET /tapes/../../x HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\n\r\n", 400, true},
		"CONNECT method":          {"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\nAzb-Customer: c\r\n\r\n", 405, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			before := f.edge.Stats.Malformed.Load()
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, c.raw)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(reached.Load()).To(BeZero())
			if c.counted {
				g.Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
				g.Expect(resp.Header.Get("Azb-Outcome")).To(Equal("not-run"))
				g.Expect(f.edge.Stats.Malformed.Load()).To(Equal(before + 1))
			}
		})
	}
}

// Guards against forwarding ambiguous requests as received: net/http accepts them and chooses one meaning, in which they
// must reach the backend server.
func TestAmbiguousRequestsAreNormalised(t *testing.T) {
	for name, raw := range map[string]string{
		"length and chunked": "POST /tapes/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n\r\n",
		"obs-fold":           "POST /tapes/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\nX-A: b\r\n Azb-Internal-Grant: 1\r\nContent-Length: 1\r\n\r\nz",
		"bare LF":            "POST /tapes/1 HTTP/1.1\nHost: x\nAzb-Customer: c\nContent-Length: 1\n\nz",
	} {
		t.Run(name, func(t *testing.T) {
			seen := make(chan *http.Request, 2)
			f := newTestEdge(t, state.Service{Kind: state.KindLookup}, func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				r.Body = io.NopCloser(bytes.NewReader(body))
				seen <- r
			})
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			f.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, raw)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			f.Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			f.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			r := <-seen
			body, _ := io.ReadAll(r.Body)
			f.Expect(string(body)).To(Equal("z"))
			f.Expect(r.Header).NotTo(HaveKey("Azb-Internal-Grant"))
			f.Expect(len(r.TransferEncoding) > 0 && r.ContentLength >= 0).To(BeFalse())
			f.Expect(seen).NotTo(Receive())
		})
	}
}

// Guards against input that makes the handler panic, or that gets an error answer without an outcome.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/tapes/1", "Azb-Customer", "c", "Idempotency-Key", "k")
	f.Add("PUT", "/.azb/lookup?customer=c", "Connection", "x, azb-customer", "Range", "bytes=1-")
	te := newTestEdge(f, state.Service{Kind: state.KindLookup}, func(http.ResponseWriter, *http.Request) {})
	f.Fuzz(func(t *testing.T, method, target, name1, value1, name2, value2 string) {
		raw := method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + name1 + ": " + value1 + "\r\n" + name2 + ": " + value2 + "\r\n\r\n"
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || req.ContentLength != 0 {
			t.Skip()
		}
		w := &bareWriter{header: http.Header{}}
		te.edge.ServeHTTP(w, req)
		if w.status >= 400 && w.header.Get("Azb-Outcome") == "" {
			t.Fatalf("status %d without header Azb-Outcome", w.status)
		}
	})
}

type bareWriter struct {
	header http.Header
	status int
}

func (w *bareWriter) Header() http.Header         { return w.header }
func (w *bareWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *bareWriter) WriteHeader(code int)        { w.status = code }
