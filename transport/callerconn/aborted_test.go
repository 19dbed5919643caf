package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a part of an answer that a caller with HTTP/1.0, who gets no length, takes for the whole one.
func TestAbortedAnswerDoesNotEndInOrder(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part of the body")
		_ = w.(interface{ FlushError() error }).FlushError() // the test fails when the part does not arrive
		panic(http.ErrAbortHandler)
	}))
	for range 20 {
		c := s.caller(t, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			continue // the reset may overtake the answer
		}
		body, err := io.ReadAll(resp.Body)
		s.Expect(err).To(HaveOccurred(), "body %q", body)
	}
}

// Guards against a refusal of whole answers without a length.
func TestWholeAnswerWithoutALengthEndsInOrder(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}))
	for range 20 {
		c := s.caller(t, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(c.reader, nil)
		s.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(body).To(HaveLen(1 << 20))
	}
}

// Guards against an answer without a length behind which the next one is sent, so that the caller takes both for one. Listed in
// KNOWN-RED.txt.
func TestAnswersWithoutALengthAreNotJoined(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	}))
	const request = "GET %s HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
	for range 20 {
		c := s.caller(t, fmt.Sprintf(request, "/a"), fmt.Sprintf(request, "/b"))
		resp, err := http.ReadResponse(c.reader, nil)
		s.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(string(body)).To(Equal("answer to /a"))
	}
}
