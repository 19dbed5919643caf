package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/answerhead"
	"azurebridge/state"
)

// serveAnswer listens on a loopback address and answers each request with the given bytes.
func serveAnswer(t *testing.T, answer string) netip.AddrPort {
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
				_, _ = io.WriteString(c, answer)
			}
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against bytes of a server in trouble that are recorded as the answer to a submission, or that end the caller's connection. No
// request asks for the other protocol that 101 announces.
func TestStatusThatHTTPDoesNotDefineIsNoAnswer(t *testing.T) {
	for status, ok := range map[string]bool{"000": false, "099": false, "101": false, "600": false, "200": true, "599": true} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			body, proof, err := answerOf(t, fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Length: 4\r\n\r\ndone", status))
			if !ok {
				g.Expect(err).To(HaveOccurred())
				g.Expect(proof).To(Equal(ProofNone), "the request may have run")
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("done"))
		})
	}
}

// answerOf requests an answer with the given bytes and reads its body.
func answerOf(t *testing.T, answer string) (body string, proof Proof, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "/orders/1", nil)
	if err != nil {
		return "", ProofNone, err
	}
	resp, proof, err := New(nil).Do(ctx, Call{Server: &state.BackendServer{Name: "s-1", Address: serveAnswer(t, answer)}, Request: r, Once: true})
	if err != nil {
		return "", proof, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), proof, err
}

// Guards against an answer whose head net/http reads in another way than the server or the caller may: with a line that belongs to no
// field, or a body that is not the server's.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\ndone"
	for name, answer := range map[string]string{
		"blank in a name":                   "HTTP/1.1 200 OK\r\nA b: c\r\n" + rest,
		"control byte in a name":            "HTTP/1.1 200 OK\r\nA\x01b: c\r\n" + rest,
		"folded line":                       "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + rest,
		"blank before the colon":            "HTTP/1.1 200 OK\r\nA : b\r\n" + rest,
		"blank before a length's colon":     "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + rest,
		"blank before an encoding's colon":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"name after a blank":                "HTTP/1.1 200 OK\r\n A: b\r\n" + rest,
		"line of blanks":                    "HTTP/1.1 200 OK\r\n \r\n" + rest,
		"line without a colon":              "HTTP/1.1 200 OK\r\nA\r\n" + rest,
		"line feeds alone":                  "HTTP/1.1 200 OK\nContent-Length: 4\n\ndone",
		"HTTP/1.0 in chunks":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"HTTP/1.0 in chunks with a length":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"two heads":                         "HTTP/1.1 503 NoHTTP/1.1 200 OK\r\n" + rest,
		"informational answer with a blank": "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"answer after an informational one": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			body, proof, err := answerOf(t, answer)
			g.Expect(err).To(HaveOccurred(), "body %q", body)
			g.Expect(proof).To(Equal(ProofNone), "the request may have run")
		})
	}
	for name, answer := range map[string]string{
		"with a length":                  "HTTP/1.1 200 OK\r\n" + rest,
		"in chunks":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"after informational answers":    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"of a body like a broken head":   "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nA b: c\r\n",
		"until the connection has ended": "HTTP/1.0 200 OK\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, _, err := answerOf(t, answer)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// Guards against heads that are checked on new connections only.
func TestMalformedHeadOnAReusedConnectionIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // the test has ended
			}
			accepted <- c
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for _, answer := range []string{whole, whole, strings.Replace(whole, "Content", "A b: c\r\nContent", 1)} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	client := New(nil)
	request := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		r, err := http.NewRequest(http.MethodPut, "/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, _, err := client.Do(ctx, Call{Server: &state.BackendServer{Name: "s-1", Address: netip.MustParseAddrPort(ln.Addr().String())}, Request: r})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	g.Expect(request()).To(Succeed())
	g.Expect(request()).To(Succeed())
	g.Expect(request()).To(MatchError(answerhead.ErrHeader))
	g.Expect(accepted).To(HaveLen(1))
}
