package edge_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a part of an answer that a caller with HTTP/1.0, who gets no length, takes for the whole one.
func TestCutAnswerToACallerWithHTTP10DoesNotEndInOrder(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", secure), func(t *testing.T) {
			f := newTestEdge(t, state.Service{Kind: state.KindDownload}, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "a part of the body")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			s := httptest.NewUnstartedServer(nil)
			s.Config = f.edge.Server()
			if secure {
				s.StartTLS()
			} else {
				s.Start()
			}
			defer s.Close()
			for range 20 {
				var c net.Conn
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				f.Expect(err).NotTo(HaveOccurred())
				if secure {
					c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
				}
				defer c.Close()
				_, err = fmt.Fprintf(c, "GET /tapes/1 HTTP/1.0\r\nHost: x\r\nAzb-Customer: c\r\n\r\n")
				f.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					continue // the reset may overtake the answer
				}
				body, err := io.ReadAll(resp.Body)
				f.Expect(err).To(HaveOccurred(), "status %d, body %q", resp.StatusCode, body)
			}
		})
	}
}

// Guards against a refusal of whole answers to callers with HTTP/1.0.
func TestWholeAnswerToACallerWithHTTP10EndsInOrder(t *testing.T) {
	f := newTestEdge(t, state.Service{Kind: state.KindDownload}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part ")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "and the rest")
	})
	for range 20 {
		c, err := net.Dial("tcp", f.server.Listener.Addr().String())
		f.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET /tapes/1 HTTP/1.0\r\nHost: x\r\nAzb-Customer: c\r\n\r\n")
		f.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		f.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(string(body)).To(Equal("a part and the rest"))
	}
}
