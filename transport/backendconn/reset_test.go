package backendconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/internal/resettest"
	"azurebridge/transport/backend"
)

const (
	// uploadSize is more than the buffers of a connection hold, in bytes, so that the upload is in progress when the answer ends.
	uploadSize = 8 << 20
	// resetTries is the number of tries on real sockets, where the system chooses whether a read or a write meets the reset.
	resetTries = 20
	resetBody  = "a part of the body"
)

// unframedAnswers are heads of answers that end with their connection, with their bodies.
var unframedAnswers = map[string]string{
	"200":               "HTTP/1.1 200 OK\r\n\r\n" + resetBody,
	"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + resetBody,
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n" + resetBody,
	"empty body":        "HTTP/1.1 200 OK\r\n\r\n",
	"500":               "HTTP/1.1 500 Internal Server Error\r\n\r\n" + resetBody,
	"after a 100":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + resetBody,
}

// uploads are the ways in which a long body is sent.
var uploads = map[string]func(address string) *Request{
	"in memory": func(address string) *Request {
		return newLongRequest(address, make([]byte, uploadSize), nil, uploadSize)
	},
	"streamed": func(address string) *Request {
		return newLongRequest(address, make([]byte, 1<<20), strings.NewReader(strings.Repeat("x", uploadSize-1<<20)), uploadSize)
	},
	"in chunks": func(address string) *Request {
		r := newLongRequest(address, make([]byte, 1<<20), strings.NewReader(strings.Repeat("x", uploadSize-1<<20)), uploadSize)
		r.Head = Head(http.MethodPost, "/", "example", http.Header{"Transfer-Encoding": {"chunked"}})
		r.Chunked = true
		return r
	},
}

func startServer(t *testing.T, s *resettest.Server) *resettest.Server {
	t.Helper()
	NewWithT(t).Expect(s.Start()).To(Succeed())
	t.Cleanup(s.Stop)
	return s
}

// readWhole makes an exchange and reads its answer to the end. A failure of either is the error.
func readWhole(dial Dialer, r *Request) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := NewPool(dial).Do(ctx, ownAnswers{}, r)
	if err != nil {
		return 0, "", err
	}
	rest := []byte(nil)
	if a.Rest != nil {
		rest, err = io.ReadAll(a.Rest)
		a.Rest.Close()
	}
	return a.Status, string(a.Body) + string(rest), err
}

// Guards against an answer that ends with a reset and passes for whole, because a write of the request's body has been told of the reset
// and the next read gets the end of the stream. The order is fixed: the write fails first, and returns last.
func TestResetThatAWriteHasMetIsNoEndOfAnAnswer(t *testing.T) {
	for answerName, answer := range unframedAnswers {
		for uploadName, upload := range uploads {
			t.Run(answerName+", "+uploadName, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := startServer(t, &resettest.Server{Answer: answer, End: resettest.Reset})
				_, _, err := readWhole(resettest.Dial, upload(s.Address()))
				g.Expect(err).To(HaveOccurred())
				g.Expect(err.(*Failure).Sent).To(BeTrue(), "the request may have run")
			})
		}
	}
}

// Guards against the refusal of a whole answer whose connection is reset after its orderly end.
func TestResetAfterTheEndOfAnAnswerTakesNothingBack(t *testing.T) {
	for uploadName, upload := range uploads {
		t.Run(uploadName, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startServer(t, &resettest.Server{Answer: unframedAnswers["200"], End: resettest.ResetAfterward})
			status, body, err := readWhole(resettest.Dial, upload(s.Address()))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(resetBody))
		})
	}
}

// Guards against the same as TestResetThatAWriteHasMetIsNoEndOfAnAnswer on real sockets, also for an answer that is streamed.
func TestAnswersThatEndWithAReset(t *testing.T) {
	const long = MaxBuffered + MaxBuffered/2
	requests := map[string]func(address string) *Request{"no body": func(address string) *Request { return newLongRequest(address, nil, nil, 0) }}
	for name, upload := range uploads {
		requests[name] = upload
	}
	answers := map[string]string{"streamed answer": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", long)}
	for name, answer := range unframedAnswers {
		answers[name] = answer
	}
	for answerName, answer := range answers {
		for requestName, request := range requests {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, %s", answerName, requestName, wait), func(t *testing.T) {
					t.Parallel()
					s := startServer(t, &resettest.Server{Answer: answer, Wait: wait, End: resettest.Reset})
					whole := 0
					for range resetTries {
						if _, _, err := readWhole(backend.DialServer, request(s.Address())); err == nil {
							whole++
						}
					}
					NewWithT(t).Expect(whole).To(BeZero(), "of %d tries", resetTries)
				})
			}
		}
	}
}

// Guards against the refusal of an answer that ends in order while the body of its request is being sent, and against waiting for a
// body that the server does not read.
func TestAnswersThatEndInOrderDuringAnUpload(t *testing.T) {
	for endName, end := range map[string]resettest.End{"read on": resettest.InOrder, "unread": resettest.InOrderUnread} {
		for answerName, answer := range unframedAnswers {
			for uploadName, upload := range uploads {
				t.Run(answerName+", "+uploadName+", "+endName, func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					s := startServer(t, &resettest.Server{Answer: answer, End: end})
					_, want, _ := strings.Cut(strings.TrimPrefix(answer, "HTTP/1.1 100 Continue\r\n\r\n"), "\r\n\r\n")
					for range resetTries {
						_, body, err := readWhole(backend.DialServer, upload(s.Address()))
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(body).To(Equal(want))
					}
				})
			}
		}
	}
}

// Guards against an answer that is held up because its caller, who is slow, is still sending the body of the request.
func TestAnswerThatEndsInOrderDoesNotWaitForASlowCaller(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, &resettest.Server{Answer: unframedAnswers["200"], End: resettest.InOrder})
	caller, stream := io.Pipe()
	defer stream.Close()
	_, body, err := readWhole(backend.DialServer, newLongRequest(s.Address(), make([]byte, 1<<20), caller, uploadSize))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(resetBody))
}
