package answerhead

import (
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
		"":                                                ErrStatusLine,
		"HTTP/1.1 200 OK":                                 ErrStatusLine,
		"HTTP/1.1 200 OK\n\n":                             ErrStatusLine,
		"HTTP/1.1 20\r\n\r\n":                             ErrStatusLine,
		"HTTP/1.1 2000 OK\r\n\r\n":                        ErrStatusLine,
		"HTTP/1.1  200 OK\r\n\r\n":                        ErrStatusLine,
		"HTTP/2.0 200 OK\r\n\r\n":                         ErrStatusLine,
		"xHTTP/1.1 200 OK\r\n\r\n":                        ErrStatusLine,
		"HTTP/1.1 503HTTP/1.1 200 OK\r\n\r\n":             ErrStatusLine,
		"HTTP/1.1 503 SerHTTP/1.1 200 OK\r\n\r\n":         ErrTwoHeads,
		"HTTP/1.1 503 No\r\nA: 1HTTP/1.1 200 OK\r\n\r\n":  ErrTwoHeads,
		"HTTP/1.1 503 No\r\nHTTP/1.1 200 OK\r\n\r\n":      ErrHeader,
		"HTTP/1.1 503 No\r\nA HTTP/1.1 200 OK: b\r\n\r\n": ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\r\n c\r\n\r\n":           ErrHeader,
		"HTTP/1.1 503 No\r\nA : b\r\n\r\n":                ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\nC: d\r\n\r\n":           ErrHeader,
		"HTTP/1.1 503 No\r\nA: b\r\n":                     ErrHeader,
		"HTTP/1.1 503 No\r\n\r\nA: b\r\n\r\n":             ErrHeader,
	} {
		err := Check([]byte(head))
		if want == nil {
			NewWithT(t).Expect(err).NotTo(HaveOccurred(), "%q", head)
			continue
		}
		NewWithT(t).Expect(err).To(MatchError(want), "%q", head)
	}
}
