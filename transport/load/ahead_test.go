package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// aheadServer answers the requests of one connection once it has read n of them.
func aheadServer(t *testing.T, n int, answer func(w io.Writer, r *http.Request, i int) bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		var requests []*http.Request
		for range n {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			requests = append(requests, r)
		}
		for i, r := range requests {
			if !answer(c, r, i) {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c) // until the client closes
	}()
	return ln.Addr().String()
}

// getAll sends n requests at the same time and returns their bodies, or errors, by number.
func getAll(address string, n int) []string {
	transport := newAheadTransport()
	out := make([]string, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%d", address, i), nil)
			if err != nil {
				panic(err) // the address is valid
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				out[i] = "error"
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if out[i] = string(body); err != nil {
				out[i] = "error"
			}
		})
	}
	all.Wait()
	return out
}

// Guards against a load that waits for each answer although it is to send requests ahead, and against bodies that go to other
// requests.
func TestRequestsAreSentAhead(t *testing.T) {
	g := NewWithT(t)
	address := aheadServer(t, 5, func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return true
	})
	g.Expect(getAll(address, 5)).To(Equal([]string{"/0", "/1", "/2", "/3", "/4"}))
}

// Guards against requests that wait for ever behind an answer that ends the connection.
func TestRequestsBehindAClosingAnswerFail(t *testing.T) {
	for name, answer := range map[string]string{
		"closing answer": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "cut answer": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := aheadServer(t, 3, func(w io.Writer, _ *http.Request, i int) bool {
				_, _ = io.WriteString(w, answer) // the client may have closed
				return false
			})
			failed := 0
			for _, body := range getAll(address, 3) {
				if body == "error" {
					failed++
				}
			}
			g.Expect(failed).To(BeNumerically(">=", 2))
		})
	}
}
