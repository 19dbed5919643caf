package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/transport/edge"
)

// bodyTimeout is how long a test waits for an answer that comes within milliseconds.
const bodyTimeout = 20 * time.Second

// submit sends the head of a submission and a part of its body.
func (f *testEdge) submit(t *testing.T, announced, sent int, header string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST /tapes/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\n%sContent-Length: %d\r\n\r\n%s", header, announced, strings.Repeat("x", sent))
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(c.SetReadDeadline(time.Now().Add(bodyTimeout))).To(Succeed())
	return c
}

func (f *testEdge) answerOn(c net.Conn) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	return resp
}

// Guards against bodies of submissions, each within its limit, that together take any amount of memory, against a refusal without
// the guarantee that nothing has run, against small submissions that are refused with them, and against memory that is not
// released.
func TestBodiesOfSubmissionsAreBounded(t *testing.T) {
	const memory, clients = 2 << 20, 24
	var runs atomic.Int32
	f := newLimitedEdge(t, memory, state.Service{Kind: state.KindSubmission, QueueTimeout: time.Second}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
	})
	var open []net.Conn
	for range clients {
		open = append(open, f.submit(t, edge.MaxBufferedBody, edge.MaxBufferedBody-1, ""))
	}
	f.Eventually(f.edge.Stats.NoMemory.Load, bodyTimeout).Should(BeNumerically(">", 0))
	f.Expect(f.edge.Memory().Used.Load()).To(BeNumerically("<=", memory))
	small := f.answerOn(f.submit(t, 100, 100, ""))
	f.Expect(small.StatusCode).To(Equal(http.StatusOK))
	f.Expect(runs.Load()).To(BeEquivalentTo(1))
	refused := f.answerOn(f.submit(t, edge.MaxBufferedBody, edge.MaxBufferedBody, ""))
	f.Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.Expect(refused.Header.Get("Azb-Outcome")).To(Equal("not-run"))
	f.Expect(runs.Load()).To(BeEquivalentTo(1))
	for _, c := range open {
		c.Close()
	}
	f.Eventually(f.edge.Memory().Used.Load, bodyTimeout).Should(BeZero())
	large := f.answerOn(f.submit(t, edge.MaxBufferedBody, edge.MaxBufferedBody, ""))
	f.Expect(large.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a body that stops short of its end and holds the connection and the memory of its submission beyond its deadline.
func TestBodyThatStopsIsAnsweredAtTheDeadline(t *testing.T) {
	f := newTestEdge(t, state.Service{Kind: state.KindSubmission, QueueTimeout: time.Second, Deadline: 300 * time.Millisecond},
		func(http.ResponseWriter, *http.Request) {})
	resp := f.answerOn(f.submit(t, 100, 99, ""))
	f.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	f.Expect(resp.Header.Get("Azb-Outcome")).To(Equal("not-run"))
	f.Expect(resp.Close).To(BeTrue())
	f.Expect(f.edge.Stats.SlowBodies.Load()).To(BeEquivalentTo(1))
	f.Eventually(f.edge.Memory().Used.Load, bodyTimeout).Should(BeZero())
}
