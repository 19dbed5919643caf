package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// serveStatus listens on a loopback address and answers each request with the status.
func serveStatus(t *testing.T, status string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // the test has ended
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\nContent-Length: 4\r\n\r\ndone", status)
			}
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against bytes of a server in trouble that are recorded as the answer to a submission, or that end the caller's connection.
func TestStatusThatHTTPDoesNotDefineIsNoAnswer(t *testing.T) {
	for status, ok := range map[string]bool{"000": false, "099": false, "600": false, "200": true, "599": true} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r, err := http.NewRequest(http.MethodPost, "/orders/1", nil)
			g.Expect(err).NotTo(HaveOccurred())
			resp, proof, err := New(nil).Do(ctx, Call{Server: &state.BackendServer{Name: "s-1", Address: serveStatus(t, status)}, Request: r, Once: true})
			if !ok {
				g.Expect(err).To(HaveOccurred())
				g.Expect(proof).To(Equal(ProofNone), "the request may have run")
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("done"))
		})
	}
}
