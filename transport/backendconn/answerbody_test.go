package backendconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
	"azurebridge/transport/membudget"
)

// markDialect reads the marks "signed" and "not-run" of an answer's Marks header.
type markDialect struct{}

func (markDialect) Inspect(h http.Header, _ int) Marks {
	return Marks{RequestID: h.Get("Id"), Signed: strings.Contains(h.Get("Marks"), "signed"), NotRun: strings.Contains(h.Get("Marks"), "not-run")}
}

type busyOwner struct{}

func (busyOwner) Stalled() membudget.Stall { return membudget.Stall{} }
func (busyOwner) Evict() bool              { return false }

// answerOf requests a body from a server that answers with the given status, marks and size.
func answerOf(g *WithT, t *testing.T, status int, marks string, size int, memory *membudget.Hold) (*Answer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return // the test has ended
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: r\r\nMarks: %s\r\nContent-Length: %d\r\n\r\n%s", status, marks, size, strings.Repeat("x", size))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	p := NewPool((&net.Dialer{}).DialContext)
	return p.Do(ctx, markDialect{}, &Request{
		Server: "s", Address: ln.Addr().String(), ID: "r", Head: Head(http.MethodGet, "/", "x", http.Header{}), MaxIdle: time.Second,
		Memory: memory, Withdrawn: func() bool { return false },
	})
}

// Guards against answers that are held beyond the budget, that lose bytes when their rest is streamed, or that are streamed although
// they may not be forwarded, and against memory that stays reserved.
func TestAnswersWithinTheBudget(t *testing.T) {
	const large = 600 << 10
	for _, c := range []struct {
		marks            string
		status, size     int
		memory           int64
		streamed, failed bool
		received         int // bytes reserved for a large receive buffer
	}{
		{marks: "signed", status: 200, size: large, memory: 0},
		{marks: "signed", status: 200, size: large, memory: 300 << 10, streamed: true},
		{marks: "signed", status: 200, size: 60 << 10, memory: 300 << 10},
		{marks: "signed", status: 200, size: MaxBuffered, memory: 0},
		{marks: "signed", status: 200, size: MaxBuffered + 1, memory: 0, streamed: true, received: longReceiveBuffer},
		{marks: "signed", status: 500, size: large, memory: 300 << 10, failed: true},
		{marks: "signed, not-run", status: 503, size: large, memory: 300 << 10, failed: true},
		{marks: "", status: 200, size: large, memory: 300 << 10, failed: true},
		{marks: "", status: 200, size: MaxBuffered + 1, memory: 0, failed: true},
	} {
		t.Run(c.marks+strconv.Itoa(c.status)+"-"+strconv.Itoa(c.size), func(t *testing.T) {
			g := NewWithT(t)
			budget := membudget.New(c.memory, func() state.Instant { return 1 })
			hold := budget.Open(busyOwner{}).Hold(membudget.Small)
			a, err := answerOf(g, t, c.status, c.marks, c.size, hold)
			if c.failed {
				g.Expect(err).To(HaveOccurred())
				g.Expect(err.(*Failure).Sent).To(BeTrue())
				g.Expect(budget.Stats.Used.Load()).To(BeZero())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Rest != nil).To(Equal(c.streamed))
			size := len(a.Body)
			g.Expect(budget.Stats.Used.Load()).To(BeEquivalentTo(cap(a.Body) + c.received))
			if a.Rest != nil {
				rest, err := io.ReadAll(a.Rest)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(a.Rest.Close()).To(Succeed())
				size += len(rest)
			}
			g.Expect(size).To(Equal(c.size))
			hold.Free()
			g.Expect(budget.Stats.Used.Load()).To(BeZero())
		})
	}
}
