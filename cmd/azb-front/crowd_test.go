package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Crowds that connect again when they are closed, and their processes.
const (
	largeCrowd  = 2600
	uploadCrowd = 1200
	usualCrowd  = 600
	// usualBody is a body that is as large as ordinary ones.
	usualBody = 60_000
	// crowdTime is how long a crowd goes on before the process is checked.
	crowdTime = 10 * time.Second
	// returnPause is the time after which a client connects again.
	returnPause = 100 * time.Millisecond
	// pieceTimeout is the timeout of the route of an upload that takes longer, in milliseconds.
	pieceTimeout = 500
	// ordinaryRequests are sent one after the other while a crowd goes on.
	ordinaryRequests = 20
)

// Limits of machines with many descriptors.
var (
	largeMachine = processLimits{memory: 206, descriptors: 2870}
	smallMemory  = processLimits{memory: processMemory, descriptors: 2870}
)

// slowly writes a body in pieces with a pause before each.
func slowly(c net.Conn, body string, piece int, pause time.Duration, stop <-chan struct{}) error {
	for len(body) > 0 {
		select {
		case <-stop:
			return nil
		case <-time.After(pause):
		}
		n, err := io.WriteString(c, body[:min(piece, len(body))])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// crowd runs clients that connect to the address, send what client sends, stay until they are closed and connect again. The
// returned function makes them stay with the connections that they have then, which are closed at the end of the test.
func (p *process) crowd(clients int, address string, client func(i int, c net.Conn, stop <-chan struct{}) error) (stop func()) {
	p.t.Helper()
	stopped := make(chan struct{})
	var running sync.WaitGroup
	var opened atomic.Int64
	for i := range clients {
		running.Go(func() {
			for {
				c, err := p.dialTo(address)
				if err == nil {
					opened.Add(1)
					p.t.Cleanup(func() { c.Close() })
					p.stay(c, stopped, func() error { return client(i, c, stopped) })
				}
				select {
				case <-stopped:
					return
				case <-time.After(returnPause):
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(stopped)
		running.Wait()
		p.t.Logf("%d clients opened %d connections", clients, opened.Load())
	})
}

// stay sends and reads until the other side closes the connection, which it then closes too, or until stopped.
func (p *process) stay(c net.Conn, stopped <-chan struct{}, send func() error) {
	sent, closed := make(chan error, 1), make(chan struct{})
	go func() { sent <- send() }()
	go func() {
		_, _ = io.Copy(io.Discard, c) // until the other side closes or resets the connection
		close(closed)
	}()
	select {
	case <-closed:
		c.Close()
	case err := <-sent:
		if err != nil {
			c.Close()
			return
		}
		select {
		case <-closed:
			c.Close()
		case <-stopped:
		}
	case <-stopped:
	}
}

// upload returns the head of a request with a body.
func upload(id, header string) string {
	return head(id, http.MethodPost, standin.WritePath+"a", header)
}

// Guards against a process that exceeds its memory by the bytes that it has received and not read, while many clients with
// bodies of 64 KiB, which stop just short of their end, come again whenever they are closed.
func TestManyBodiesOfClientsThatComeAgain(t *testing.T) {
	p := startLimitedProcess(t, 4, largeMachine)
	announcedBody, chunkedBody := strings.Repeat("x", largeChunk-1), string(chunked(largeChunk, largeChunk))
	stop := p.crowd(largeCrowd, p.addresses.callers, func(i int, c net.Conn, _ <-chan struct{}) error {
		request := upload(fmt.Sprintf("again-%d", i), inChunks) + chunkedBody[:len(chunkedBody)-3]
		if i%2 == 0 {
			request = upload(fmt.Sprintf("again-%d", i), announced(largeChunk)) + announcedBody
		}
		_, err := io.WriteString(c, request)
		return err
	})
	time.Sleep(crowdTime)
	stop()
	p.check()
}

// Guards against ordinary requests without any answer, not even a refusal, while many clients hold the memory with bodies of the
// usual size that arrive in pieces.
func TestManyUploadsInPieces(t *testing.T) {
	p := startLimitedProcess(t, 4, smallMemory)
	const piece, pause = 4300, 1200 * time.Millisecond
	body := strings.Repeat("x", usualBody-1)
	stop := p.crowd(uploadCrowd, p.addresses.callers, func(i int, c net.Conn, stop <-chan struct{}) error {
		if _, err := io.WriteString(c, upload(fmt.Sprintf("pieces-%d", i), announced(usualBody))); err != nil {
			return err
		}
		return slowly(c, body, piece, pause, stop)
	})
	time.Sleep(crowdTime)
	for n := range ordinaryRequests {
		status := p.ordinary()
		p.Expect(status).NotTo(BeZero(), "ordinary request %d has no answer: %v", n, p.lastError)
	}
	stop()
	p.check()
}

// Guards against bytes that are received and not read because an earlier request of their connection is in progress.
func TestManyBodiesBehindARequestInProgress(t *testing.T) {
	p := startLimitedProcess(t, 4, smallMemory)
	p.set(standin.Hold)
	stop := p.crowd(usualCrowd, p.addresses.callers, func(i int, c net.Conn, _ <-chan struct{}) error {
		first := head(fmt.Sprintf("held-%d", i), http.MethodGet, standin.ReadPath+"a", "")
		_, err := io.WriteString(c, first+upload(fmt.Sprintf("behind-%d", i), announced(largeBody))+strings.Repeat("x", largeBody-1))
		return err
	})
	time.Sleep(crowdTime)
	stop()
	for _, s := range p.servers {
		s.Release()
	}
	p.check()
}

// Guards against bytes of long answers that are received from servers and not read, because callers do not accept them.
func TestManyUnreadLongAnswers(t *testing.T) {
	p := startLimitedProcess(t, 4, smallMemory)
	p.set(standin.Long)
	p.run(usualCrowd, func(i int, c net.Conn) error {
		_, err := io.WriteString(c, head(fmt.Sprintf("unread-%d", i), http.MethodGet, standin.ReadPath+fmt.Sprint(i), ""))
		return err
	})
	time.Sleep(crowdTime)
	p.check()
}

// Guards against the descriptors and the memory that bodies, heads and idle connections take at the addresses other than the
// callers', at which no request has a body.
func TestManyClientsAtOtherAddresses(t *testing.T) {
	kinds := map[string]string{
		"announced": "GET /x HTTP/1.1\r\nHost: x\r\n" + announced(usualBody) + "\r\n" + strings.Repeat("x", usualBody-1),
		"chunks":    "GET /x HTTP/1.1\r\nHost: x\r\n" + inChunks + "\r\n" + string(chunked(usualBody, smallChunk)),
		"head":      "GET /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\r\n", 8<<10),
		"idle":      "GET /x HTTP/1.1\r\nHost: x\r\n\r\n",
	}
	for name, address := range map[string]func(processAddresses) string{
		"directory": func(a processAddresses) string { return a.directory }, "ready": func(a processAddresses) string { return a.ready },
		"peers": func(a processAddresses) string { return a.peers }, "metrics": func(a processAddresses) string { return a.metrics },
	} {
		for kind, request := range kinds {
			t.Run(name+"/"+kind, func(t *testing.T) {
				p := startProcess(t, 2)
				stop := p.crowd(usualCrowd, address(p.addresses), func(_ int, c net.Conn, _ <-chan struct{}) error {
					_, err := io.WriteString(c, request)
					return err
				})
				time.Sleep(crowdTime / 2)
				p.Expect(p.ordinary()).To(Equal(http.StatusOK), "%v", p.lastError)
				stop()
				p.check()
			})
		}
	}
}

// Guards against a process that ends, hangs or exceeds its memory while clients send trailers, chunk extensions, announcements that
// they wait to be invited for, and heads byte by byte, and reset their connections, with servers that do not answer, and
// against a planned stop that does not end then.
func TestManyKindsOfClientsAtAPlannedStop(t *testing.T) {
	p := startProcess(t, 4)
	p.set(standin.Hold)
	chunk := string(chunked(largeChunk, largeChunk))
	stop := p.crowd(usualCrowd, p.addresses.callers, func(i int, c net.Conn, stop <-chan struct{}) error {
		id := fmt.Sprintf("odd-%d", i)
		var request string
		switch i % 6 {
		case 0:
			request = upload(id, inChunks) + chunk + "0\r\n" + strings.Repeat("X-Trailer: x\r\n", 4<<10)
		case 1:
			request = upload(id, inChunks) + strings.Repeat("1;"+strings.Repeat("e", 200)+"\r\nx\r\n", 1<<10)
		case 2:
			request = upload(id, announced(largeBody)+"Expect: 100-continue\r\n")
		case 3:
			return slowly(c, upload(id, announced(largeBody)), 1, 20*time.Millisecond, stop)
		case 4:
			_, err := io.WriteString(c, upload(id, announced(largeBody))+strings.Repeat("x", largeBody/2))
			_ = c.(*net.TCPConn).SetLinger(0) // the connection is reset when it is closed
			if err == nil {
				err = io.ErrUnexpectedEOF
			}
			return err
		case 5:
			request = upload(id, announced(usualBody)) + strings.Repeat("x", usualBody)
		}
		_, err := io.WriteString(c, request)
		return err
	})
	time.Sleep(crowdTime)
	p.Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
	p.Eventually(p.ended, processTimeout).Should(BeClosed())
	stop()
	p.Expect(p.command.ProcessState.ExitCode()).To(BeZero())
	p.Expect(p.usage.Peak.Load() >> 20).To(BeNumerically("<=", p.limits.memory))
}

// Guards against an upload that no timeout ends while bytes come, however few: its caller waits in vain, and the connection and the
// memory of the request stay in use.
func TestUploadInPiecesIsAnsweredAtItsTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.putTable(2, pieceTimeout)
	f.awaitTable(2)
	c, err := net.Dial("tcp", f.program.cfg.Callers.String())
	f.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		request := upload("endless", announced(largeBody)) + strings.Repeat("x", largeBody)
		_ = slowly(c, request, 1<<10, 20*time.Millisecond, stop) // ends when the connection does
	}()
	f.Expect(c.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	f.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.Expect(f.runs("endless")).To(BeZero())
	f.Eventually(f.program.memory.Stats.Used.Load, waitTimeout).Should(BeZero())
}
