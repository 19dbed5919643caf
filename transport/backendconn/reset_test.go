package backendconn

import (
	"bytes"
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

// uploads are the ways in which a long body is sent.
var uploads = map[string]func(address string) *Request{
	"in memory": func(address string) *Request {
		return newLongRequest(address, resettest.Upload, nil, resettest.UploadSize)
	},
	"streamed": func(address string) *Request {
		return newLongRequest(address, resettest.Upload[:1<<20], bytes.NewReader(resettest.Upload[1<<20:]), resettest.UploadSize)
	},
	"in chunks": func(address string) *Request {
		r := newLongRequest(address, resettest.Upload[:1<<20], bytes.NewReader(resettest.Upload[1<<20:]), resettest.UploadSize)
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
	for answerName, answer := range resettest.UnframedAnswers {
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
			s := startServer(t, &resettest.Server{Answer: resettest.UnframedAnswers["200"], End: resettest.ResetAfterEnd})
			status, body, err := readWhole(resettest.Dial, upload(s.Address()))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(resettest.UnframedAnswers["200"].Body))
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
	answers := map[string]resettest.UnframedAnswer{"streamed answer": {Head: "HTTP/1.1 200 OK\r\n\r\n", Body: strings.Repeat("x", long)}}
	for name, answer := range resettest.UnframedAnswers {
		answers[name] = answer
	}
	for answerName, answer := range answers {
		for requestName, request := range requests {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, %s", answerName, requestName, wait), func(t *testing.T) {
					t.Parallel()
					s := startServer(t, &resettest.Server{Answer: answer, Wait: wait, End: resettest.Reset})
					whole := 0
					for range resettest.Tries {
						if _, _, err := readWhole(backend.DialServer, request(s.Address())); err == nil {
							whole++
						}
					}
					NewWithT(t).Expect(whole).To(BeZero(), "of %d tries", resettest.Tries)
				})
			}
		}
	}
}

// Guards against the refusal of an answer that ends in order while the body of its request is being sent, and against waiting for a
// body that the server does not read.
func TestAnswersThatEndInOrderDuringAnUpload(t *testing.T) {
	for end, tries := range map[resettest.End]int{resettest.InOrder: resettest.Tries, resettest.InOrderUnread: 5} { // what is unread takes memory
		for answerName, answer := range resettest.UnframedAnswers {
			for uploadName, upload := range uploads {
				t.Run(fmt.Sprintf("%s, %s, end %d", answerName, uploadName, end), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					s := startServer(t, &resettest.Server{Answer: answer, End: end})
					for range tries {
						_, body, err := readWhole(backend.DialServer, upload(s.Address()))
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(body).To(Equal(answer.Body))
					}
				})
			}
		}
	}
}

// Guards against an answer that is held up because its caller, who is slow, is still sending the body of the request.
func TestAnswerThatEndsInOrderDoesNotWaitForASlowCaller(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, &resettest.Server{Answer: resettest.UnframedAnswers["200"], End: resettest.InOrder})
	caller, stream := io.Pipe()
	defer stream.Close()
	_, body, err := readWhole(backend.DialServer, newLongRequest(s.Address(), resettest.Upload[:1<<20], caller, resettest.UploadSize))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(resettest.UnframedAnswers["200"].Body))
}
