package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/internal/resettest"
	"azurebridge/state"
)

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
	r, err := http.NewRequest(http.MethodPost, "/orders/1", io.MultiReader(bytes.NewReader(resettest.Upload)))
	if err != nil {
		return "", err
	}
	if !chunked {
		r.ContentLength = resettest.UploadSize
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
	for name, answer := range resettest.UnframedAnswers {
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
	for name, answer := range resettest.UnframedAnswers {
		for _, chunked := range []bool{false, true} {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, chunked %t, %s", name, chunked, wait), func(t *testing.T) {
					t.Parallel()
					server := startServer(t, &resettest.Server{Answer: answer, Wait: wait, End: resettest.Reset})
					whole := 0
					for range resettest.Tries {
						if _, err := readWhole(nil, server, chunked); err == nil {
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
		for name, answer := range resettest.UnframedAnswers {
			t.Run(fmt.Sprintf("%s, end %d", name, end), func(t *testing.T) {
				t.Parallel()
				server := startServer(t, &resettest.Server{Answer: answer, End: end})
				for range tries {
					body, err := readWhole(nil, server, false)
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
					NewWithT(t).Expect(body).To(Equal(answer.Body))
				}
			})
		}
	}
}

// Guards against the same fault with the store and other instances, which net/http calls on connections of Dial.
func TestConnectionsOfDialTellAResetFromTheEndOfTheStream(t *testing.T) {
	g := NewWithT(t)
	server := startServer(t, &resettest.Server{Answer: resettest.UnframedAnswers["200"], Wait: 2 * time.Millisecond, End: resettest.Reset})
	client := http.Client{Transport: &http.Transport{DialContext: Dial}, Timeout: 10 * time.Second}
	for range resettest.Tries {
		resp, err := client.Post("http://"+server.Address.String(), "", bytes.NewReader(resettest.Upload))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).To(HaveOccurred(), "body %q", body)
	}
}
