package callerconn

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// readOnHandler answers a request after the first bytes of its body, and reads the rest after its return. cut ends the reading early.
func readOnHandler(cut <-chan struct{}, got chan<- int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			_, _ = io.WriteString(w, "next")
			return
		}
		first, _ := io.CopyN(io.Discard, r.Body, 1000)
		until := make(chan struct{})
		w.(interface{ ReadOn(until <-chan struct{}) }).ReadOn(until)
		go func() {
			defer close(until)
			select {
			case <-cut:
			default:
				rest, _ := io.Copy(io.Discard, r.Body)
				got <- first + rest
			}
		}()
		_, _ = io.WriteString(w, "early")
	})
}

// Guards against a body that is given up after an early success, and against a connection that is closed for it.
func TestBodyIsReadOnAfterTheAnswer(t *testing.T) {
	got := make(chan int64, 1)
	s := startServer(t, readOnHandler(nil, got))
	const size = 1_000_000
	c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n", strings.Repeat("x", 1000))
	resp := c.answer("early")
	s.Expect(resp.Close).To(BeFalse())
	_, err := io.WriteString(c, strings.Repeat("x", size-1000)+get("/b"))
	s.Expect(err).NotTo(HaveOccurred())
	s.Eventually(got, testTimeout).Should(Receive(BeNumerically("==", size)))
	c.answer("next")
}

// Guards against a caller that loses the answer because its connection is reset when the rest of the body is given up, and against a
// connection on which that rest is read as a request.
func TestConnectionEndsWhenTheRestOfABodyIsGivenUp(t *testing.T) {
	cut := make(chan struct{})
	close(cut)
	s := startServer(t, readOnHandler(cut, nil))
	c := s.caller(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n", strings.Repeat("x", 1000))
	go func() { _, _ = c.Write([]byte(strings.Repeat(get("/b"), 1000))) }() // fails once the server has closed
	c.answer("early")
	c.end()
	s.Eventually(s.list, testTimeout).Should(BeEmpty())
}
