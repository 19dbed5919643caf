package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ownAnswers is a Dialect whose answers all belong to the request "id".
type ownAnswers struct{}

func (ownAnswers) Inspect(http.Header, int) Marks { return Marks{RequestID: "id", Signed: true} }

// earlyServer answers a request with the given status after the first bytes of its body, and sends the number of bytes of the body that
// it has got in the end to got. It reads on once readOn is closed.
func earlyServer(t *testing.T, status string, readOn <-chan struct{}, got chan<- int64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		first, _ := io.CopyN(io.Discard, r.Body, 8<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
		<-readOn
		rest, _ := io.Copy(io.Discard, r.Body)
		got <- first + rest
	}()
	return ln.Addr().String()
}

func newLongRequest(address string, body []byte, rest io.Reader, size int) *Request {
	h := http.Header{"Content-Length": {strconv.Itoa(size)}}
	return &Request{
		Server: "s-1", Address: address, ID: "id", Head: Head(http.MethodPost, "/", "example", h), Body: body, Rest: rest, MaxIdle: time.Minute,
		Withdrawn: func() bool { return false },
	}
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// Guards against the loss of the rest of a long body whose server answers with success before it has read all of it.
func TestLongBodyIsSentToItsEndAfterAnEarlySuccess(t *testing.T) {
	const size = 8 << 20
	for name, rest := range map[string]bool{"in memory": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			readOn, got := make(chan struct{}), make(chan int64, 1)
			body := make([]byte, size)
			r := newLongRequest(earlyServer(t, "200 OK", readOn, got), body, nil, size)
			caller, stream := io.Pipe()
			if rest {
				r.Body, r.Rest = body[:1<<20], caller
				go func() { _, _ = stream.Write(body[1<<20:]); stream.Close() }()
			}
			pool := NewPool(dialTCP)
			ctx, cancel := context.WithCancel(context.Background())
			a, err := pool.Do(ctx, ownAnswers{}, r)
			cancel() // the handler returns
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Status).To(Equal(http.StatusOK))
			close(readOn)
			g.Eventually(got, 10*time.Second).Should(Receive(Equal(int64(size))))
			g.Eventually(pool.trailing.Load, 10*time.Second).Should(BeZero())
			if rest {
				g.Eventually(a.Sending, 10*time.Second).Should(BeClosed())
			}
			g.Expect(pool.trailingBytes.Load()).To(BeZero())
		})
	}
}

// Guards against a body that is sent on although its server has refused it early.
func TestEarlyFailureEndsTheBody(t *testing.T) {
	g := NewWithT(t)
	const size = 8 << 20
	readOn, got := make(chan struct{}), make(chan int64, 1)
	pool := NewPool(dialTCP)
	a, err := pool.Do(context.Background(), ownAnswers{}, newLongRequest(earlyServer(t, "413 Too Large", readOn, got), make([]byte, size), nil, size))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Sending).To(BeNil())
	g.Expect(pool.Trailing()).To(BeZero())
	close(readOn)
	g.Eventually(got, 10*time.Second).Should(Receive(BeNumerically("<", size)))
}
