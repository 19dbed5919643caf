package answerhead

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against heads that a lenient parser accepts although they consist of parts of two answers, and against the rejection of
// proper heads.
func TestOnlyWellFormedHeadsPass(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n\r\n":                            nil,
		"HTTP/1.0 204\r\nA: b\r\n\r\n":                       nil,
		"HTTP/1.1 200 \r\nVia: HTTP/1.1 proxy\r\nB:\r\n\r\n": nil,
		"HTTP/1.1 200 OK\r\nA: HTTP/1.1 \xe9t\xe9\r\n\r\n":   nil,
		"":                                                                       ErrStatusLine,
		"HTTP/1.1 200 OK":                                                        ErrStatusLine,
		"HTTP/1.1 200 OK\n\n":                                                    ErrStatusLine,
		"HTTP/1.1 20\r\n\r\n":                                                    ErrStatusLine,
		"HTTP/1.1 2000 OK\r\n\r\n":                                               ErrStatusLine,
		"HTTP/1.1  200 OK\r\n\r\n":                                               ErrStatusLine,
		"HTTP/2.0 200 OK\r\n\r\n":                                                ErrStatusLine,
		"xHTTP/1.1 200 OK\r\n\r\n":                                               ErrStatusLine,
		"HTTP/1.1 503HTTP/1.1 200 OK\r\n\r\n":                                    ErrStatusLine,
		"HTTP/1.1 503 SerHTTP/1.1 200 OK\r\n\r\n":                                ErrTwoHeads,
		"HTTP/1.1 503 No\r\nA: 1HTTP/1.1 200 OK\r\n\r\n":                         ErrTwoHeads,
		"HTTP/1.1 503 No\r\nHTTP/1.1 200 OK\r\n\r\n":                             ErrHeader,
		"HTTP/1.1 503 No\r\nA HTTP/1.1 200 OK: b\r\n\r\n":                        ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\r\n c\r\n\r\n":                                  ErrHeader,
		"HTTP/1.1 503 No\r\nA : b\r\n\r\n":                                       ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\nC: d\r\n\r\n":                                  ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\r\n":                                            ErrHeader,
		"HTTP/1.1 503 No\r\n\r\nA: b\r\n\r\n":                                    ErrHeader,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                  nil,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                  ErrFraming,
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding:gzip\r\n\r\n": ErrFraming,
	} {
		err := Check([]byte(head))
		if want == nil {
			NewWithT(t).Expect(err).NotTo(HaveOccurred(), "%q", head)
		} else {
			NewWithT(t).Expect(err).To(MatchError(want), "%q", head)
		}
		expectSameInParts(t, head, want)
	}
}

// expectSameInParts adds a head to a Checker in two parts, with a body behind it, and expects the error of Check: that of the first
// malformed line, or none until the body.
func expectSameInParts(t *testing.T, head string, want error) {
	t.Helper()
	const body = "A b: c\r\n\r\n"
	whole, _, ends := strings.Cut(head, "\r\n\r\n")
	for cut := range len(head) + 1 {
		g := NewWithT(t)
		var c Checker
		n, err := c.Add([]byte(head[:cut]))
		if err == nil && !c.Ended() {
			g.Expect(n).To(Equal(cut))
			var m int
			m, err = c.Add([]byte(head[cut:] + body))
			n += m
		}
		switch {
		case err != nil:
			g.Expect(err).To(MatchError(want), "%q, cut at %d", head, cut)
			g.Expect(c.Ended()).To(BeFalse())
		case ends: // what follows the empty line is no part of the head
			g.Expect(n).To(Equal(len(whole+"\r\n\r\n")), "%q, cut at %d", head, cut)
			g.Expect(c.Ended()).To(BeTrue())
		default:
			g.Expect(want).To(HaveOccurred(), "%q, cut at %d", head, cut)
		}
	}
}
