package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/internal/resettest"
	"azurebridge/state"
)

const (
	uploadSize = 8 << 20 // bytes; more than the buffers of a connection hold
	resetTries = 20
	resetBody  = "a part of the body"
)

var unframedAnswers = map[string]string{
	"200":         "HTTP/1.1 200 OK\r\n\r\n" + resetBody,
	"HTTP/1.0":    "HTTP/1.0 200 OK\r\n\r\n" + resetBody,
	"empty body":  "HTTP/1.1 200 OK\r\n\r\n",
	"500":         "HTTP/1.1 500 Internal Server Error\r\n\r\n" + resetBody,
	"after a 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + resetBody,
}

func startServer(t *testing.T, s *resettest.Server) *state.BackendServer {
	t.Helper()
	NewWithT(t).Expect(s.Start()).To(Succeed())
	t.Cleanup(s.Stop)
	return &state.BackendServer{Name: "s-1", Address: netip.MustParseAddrPort(s.Address())}
}

// readWhole sends an upload and reads its answer to the end. A failure of either is the error.
func readWhole(dial Dialer, server *state.BackendServer, chunked bool) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "/orders/1", io.MultiReader(strings.NewReader(strings.Repeat("x", uploadSize))))
	if err != nil {
		return "", err
	}
	if !chunked {
		r.ContentLength = uploadSize
	}
	resp, _, err := New(dial).Do(ctx, Call{Server: server, Request: r, Once: true})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against an answer that ends with a reset and passes for whole, because a write of the request's body has been told of the reset
// and the next read gets the end of the stream. The order is fixed: the write fails first, and returns last.
func TestResetThatAWriteHasMetIsNoEndOfAnAnswer(t *testing.T) {
	for name, answer := range unframedAnswers {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", name, chunked), func(t *testing.T) {
				t.Parallel()
				_, err := readWhole(resettest.Dial, startServer(t, &resettest.Server{Answer: answer, End: resettest.Reset}), chunked)
				NewWithT(t).Expect(err).To(HaveOccurred())
			})
		}
	}
}

// Guards against the same on real sockets.
func TestAnswersThatEndWithAReset(t *testing.T) {
	for name, answer := range unframedAnswers {
		for _, chunked := range []bool{false, true} {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, chunked %t, %s", name, chunked, wait), func(t *testing.T) {
					t.Parallel()
					server := startServer(t, &resettest.Server{Answer: answer, Wait: wait, End: resettest.Reset})
					whole := 0
					for range resetTries {
						if _, err := readWhole(nil, server, chunked); err == nil {
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
		for name, answer := range unframedAnswers {
			t.Run(name+", "+endName, func(t *testing.T) {
				t.Parallel()
				server := startServer(t, &resettest.Server{Answer: answer, End: end})
				_, want, _ := strings.Cut(strings.TrimPrefix(answer, "HTTP/1.1 100 Continue\r\n\r\n"), "\r\n\r\n")
				for range resetTries {
					body, err := readWhole(nil, server, false)
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
					NewWithT(t).Expect(body).To(Equal(want))
				}
			})
		}
	}
}
