package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state/routing"
)

// stalledBody is a handler that reads the first byte of a body and then nothing, until the request is cancelled or released.
func stalledBody(left chan<- struct{}, release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 1))
		select {
		case <-r.Context().Done():
			left <- struct{}{}
		case <-release:
			if n, _ := io.Copy(io.Discard, r.Body); n+1 == r.ContentLength {
				left <- struct{}{}
			}
		}
	})
}

// Guards against a request that goes on although its caller has left, because nothing reads the rest of its body: only reading tells
// that a caller has left.
func TestCallerThatLeavesBehindAnUnreadBodyIsNoticed(t *testing.T) {
	for _, length := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		t.Run(length, func(t *testing.T) {
			left := make(chan struct{}, 1)
			s := startServer(t, stalledBody(left, nil))
			c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\n"+length+"\r\n\r\n", fmt.Sprintf("%x\r\n%050000d", 50_000, 1))
			if length[0] == 'T' { // of a chunked body it is not known how much is due; a caller that resets the connection has left
				s.Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
			}
			s.Expect(c.Close()).To(Succeed())
			s.Eventually(func() bool {
				s.Expire(routing.Limits{})
				return len(left) == 1
			}, testTimeout).Should(BeTrue())
		})
	}
}

// Guards against cancelling the request of a caller that has ended its sending side after the whole body.
func TestCallerThatEndsItsSendingSideAfterTheBodyHasNotLeft(t *testing.T) {
	left, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, stalledBody(left, release))
	c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n", fmt.Sprintf("%050000d", 1))
	s.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	s.Consistently(func() bool {
		s.Expire(routing.Limits{})
		return len(left) == 0
	}, 300*time.Millisecond).Should(BeTrue())
	close(release)
	s.Eventually(left, testTimeout).Should(Receive())
}
