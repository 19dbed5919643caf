package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"azurebridge/internal/procusage"
	"azurebridge/platform/standin"
)

// Limits of the process under test, unless a test sets others.
const (
	// processMemory is its memory_mb: a process without callers takes about a quarter of it.
	processMemory = 72
	// processDescriptors is its limit on open descriptors.
	processDescriptors = 512
	// reservedDescriptors must stay free so that connections to servers can still be opened.
	reservedDescriptors = 64
	// processTimeout bounds waits for the process under the race detector and beside other load.
	processTimeout = 90 * time.Second
)

// processLimits are the limits of a process under test.
type processLimits struct {
	memory      int // memory_mb
	descriptors int
}

var usualLimits = processLimits{processMemory, processDescriptors}

// maxStarts bounds the starts of a process whose ports others take.
const maxStarts = 5

// settingsFormat is the settings file of the process.
const settingsFormat = `[instance]
name = front-1
region = north
domain = north-a
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[store]
address = %s
[limits]
memory_mb = %d
stop_grace = 1s
[domain north-a]
region = north
`

// process is one azb-front as a process of its own, built without the race detector, which multiplies memory. The stand-ins of
// the store and the servers are in the test process.
type process struct {
	*WithT
	t         *testing.T
	store     *standin.Store
	servers   []*standin.Server
	limits    processLimits
	addresses processAddresses
	usage     *procusage.Usage
	command   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	lastError error         // of an ordinary request without an answer
}

// processAddresses are the addresses at which the process listens.
type processAddresses struct{ callers, ready, directory, peers, metrics string }

// startProcess starts a process with the usual limits and n servers, and waits until it answers a request.
func startProcess(t *testing.T, n int) *process {
	t.Helper()
	return startLimitedProcess(t, n, usualLimits)
}

func startLimitedProcess(t *testing.T, n int, limits processLimits) *process {
	t.Helper()
	p := &process{WithT: NewWithT(t), t: t, store: standin.NewStore(), limits: limits}
	t.Cleanup(p.store.Close)
	p.store.PutTable(1, longTimeout, targetLatency)
	for i := range n {
		s, err := standin.NewServer(fmt.Sprintf("i-%d", i))
		p.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(s.Close)
		t.Cleanup(s.Release)
		p.servers = append(p.servers, s)
		p.store.PutServer(s.ID, s, "north-a", "ready")
	}
	folder := t.TempDir()
	program, settingsFile := filepath.Join(folder, "azb-front"), filepath.Join(folder, "front.ini")
	built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	p.Expect(err).NotTo(HaveOccurred(), string(built))
	for range maxStarts {
		if p.launch(program, settingsFile) {
			return p
		}
	}
	t.Fatal("other processes have taken the ports at each start")
	return nil
}

// launch starts the process on free ports and waits until it answers a request. It returns false when another process has taken
// one of the ports meanwhile: several test processes may look for free ports in the same range at the same time.
func (p *process) launch(program, settingsFile string) bool {
	t := p.t
	t.Helper()
	free := func() string { return freePort(t).String() }
	p.addresses = processAddresses{callers: free(), ready: free(), directory: free(), peers: free(), metrics: free()}
	a := p.addresses
	p.Expect(os.WriteFile(settingsFile, []byte(fmt.Sprintf(settingsFormat, a.callers, a.ready, a.directory, a.peers, a.metrics,
		p.store.Address(), p.limits.memory)), 0o600)).To(Succeed())
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" --config "$1"`, p.limits.descriptors)
	command, ended, output := exec.Command("sh", "-c", limited, program, settingsFile), make(chan struct{}), &logBuffer{}
	command.Stdout, command.Stderr = output, output
	p.command, p.ended = command, ended
	p.Expect(command.Start()).To(Succeed())
	go func() { _ = command.Wait(); close(ended) }()
	p.usage = procusage.Watch(command.Process.Pid, ended)
	t.Cleanup(func() { _ = command.Process.Kill(); <-ended })
	hasEnded := func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}
	p.Eventually(func() bool { return hasEnded() || p.ordinary() == http.StatusOK }, processTimeout).Should(BeTrue(), func() string {
		return fmt.Sprint(p.lastError, "\n", output.text())
	})
	if !hasEnded() {
		return true
	}
	if !strings.Contains(output.text(), syscall.EADDRINUSE.Error()) {
		t.Fatalf("the process has ended: %s", output.text())
	}
	t.Logf("port in use: %s", output.text())
	return false
}

// set changes the behaviour of all servers.
func (p *process) set(how standin.Behaviour) {
	for _, s := range p.servers {
		s.Set(how)
	}
}

// head returns the head of a caller's request.
func head(id, method, path, extra string) string {
	out := method + " " + path + " HTTP/1.1\r\nHost: " + standin.Host + "\r\n" + extra
	for name, value := range standin.CallerHeaders(id, id, "50000") {
		out += name + ": " + value + "\r\n"
	}
	return out + "\r\n"
}

// ordinary sends a small request on a connection of its own and returns the status of its answer, or 0.
func (p *process) ordinary() int {
	p.lastError = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: processTimeout}
	r, err := http.NewRequest(http.MethodGet, "http://"+p.addresses.callers+standin.ReadPath+"ordinary", nil)
	p.Expect(err).NotTo(HaveOccurred())
	r.Host = standin.Host
	for name, value := range standin.CallerHeaders("ordinary", "ordinary", "50000") {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		p.lastError = err
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// dial opens a caller's connection with a small receive buffer.
func (p *process) dial() (net.Conn, error) { return p.dialTo(p.addresses.callers) }

func (p *process) dialTo(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: processTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return d.Dial("tcp", address)
}

// run runs the clients at the same time, each with a connection of its own, and waits until all of them have sent what they
// send or cannot send more. Their connections stay open until the end of the test.
func (p *process) run(clients int, client func(i int, c net.Conn) error) {
	p.t.Helper()
	done := make(chan struct{}, clients)
	for i := range clients {
		c, err := p.dial()
		p.Expect(err).NotTo(HaveOccurred())
		p.t.Cleanup(func() { c.Close() })
		go func() {
			_ = client(i, c) // the process may refuse the request or close the connection
			done <- struct{}{}
		}()
	}
	p.Eventually(done, processTimeout).Should(HaveLen(clients))
}

// descriptors returns the number of descriptors that the process has open.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	p.Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// Polls of the memory that must be equal before a test takes it for steady.
const (
	steadyPolls    = 10
	steadyInterval = 100 * time.Millisecond
)

// check checks that the process lives within its limits while the clients' connections are open, and answers an ordinary
// request.
func (p *process) check() {
	p.t.Helper()
	last, same := int64(0), 0
	p.Eventually(func() bool { // bytes that clients have sent may still be on their way
		if now := p.usage.Peak.Load(); now == last {
			same++
		} else {
			last, same = now, 0
		}
		return same == steadyPolls
	}, processTimeout, steadyInterval).Should(BeTrue())
	p.Expect(p.ended).NotTo(BeClosed(), "the process lives")
	open := p.descriptors()
	p.set(standin.Serve)
	status := p.ordinary()
	peak := p.usage.Peak.Load() >> 20
	p.t.Logf("peak %d MiB of %d resident and unread, %d MiB resident and %d MiB unread at most, %d descriptors of %d, ordinary request %d, %v",
		peak, p.limits.memory, p.usage.Resident.Load()>>20, p.usage.Unread.Load()>>20, open, p.limits.descriptors, status, p.lastError)
	p.Expect(p.ended).NotTo(BeClosed(), "the process lives")
	p.Expect(peak).To(BeNumerically("<=", p.limits.memory))
	p.Expect(open).To(BeNumerically("<=", p.limits.descriptors-reservedDescriptors))
	p.Expect(status).To(Equal(http.StatusOK))
}

// Clients outside the limits and what they send.
const (
	strayClients = 96
	largeBody    = 1 << 20 // within the limit of the stand-in's configuration
	pieceSize    = 16 << 10
	largeChunk   = 64 << 10
	smallChunk   = 8
	tooLarge     = 32 * standin.MaxBody
	// unreadRequests is the number of requests that a client sends whose answers it does not read.
	unreadRequests = 24
)

// writePieces writes a body in pieces.
func writePieces(c net.Conn, body []byte) error {
	for len(body) > 0 {
		n, err := c.Write(body[:min(pieceSize, len(body))])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// chunked returns a body of the given size in chunks, without the last chunk, which has no bytes.
func chunked(size, chunk int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return []byte(strings.Repeat(one, size/chunk))
}

// announced returns the header field that announces a body's size.
func announced(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }

const inChunks = "Transfer-Encoding: chunked\r\n"

// stray runs clients that each send the head and then the body of one request.
func (p *process) stray(header string, body []byte) {
	p.t.Helper()
	p.run(strayClients, func(i int, c net.Conn) error {
		if _, err := io.WriteString(c, head(fmt.Sprintf("stray-%d", i), http.MethodPost, standin.WritePath+"a", header)); err != nil {
			return err
		}
		return writePieces(c, body)
	})
}

// Guards against a process that holds more than its memory for many large bodies at the same time, each within the limit and
// sent whole.
func TestManyLargeBodies(t *testing.T) {
	p := startProcess(t, 4)
	p.set(standin.Hold)
	p.run(strayClients, func(i int, c net.Conn) error {
		_, err := c.Write(append([]byte(head(fmt.Sprintf("stray-%d", i), http.MethodPost, standin.WritePath+"a", announced(largeBody))),
			bytes.Repeat([]byte("x"), largeBody)...))
		return err
	})
	p.check()
}

// Guards against a process that holds more than its memory for large bodies that arrive in pieces and stop just short of their
// end.
func TestManyLargeBodiesShortOfTheirEnd(t *testing.T) {
	p := startProcess(t, 4)
	p.stray(announced(largeBody), bytes.Repeat([]byte("x"), largeBody-1))
	p.check()
}

// Guards against the same with bodies without a declared length, in large chunks.
func TestManyBodiesInLargeChunksShortOfTheirEnd(t *testing.T) {
	p := startProcess(t, 4)
	body := chunked(largeBody, largeChunk)
	p.stray(inChunks, body[:len(body)-3])
	p.check()
}

// Guards against the same in very small chunks, whose framing is several times the bytes of the body.
func TestManyBodiesInSmallChunksShortOfTheirEnd(t *testing.T) {
	p := startProcess(t, 4)
	body := chunked(largeBody, smallChunk)
	p.stray(inChunks, body[:len(body)-3])
	p.check()
}

// Guards against a process that holds bodies far over the limit, or reads them to their end, when their length is announced.
func TestManyAnnouncedBodiesOverTheLimit(t *testing.T) {
	p := startProcess(t, 4)
	p.stray(announced(tooLarge), bytes.Repeat([]byte("x"), tooLarge))
	p.check()
}

// Guards against the same when their length is not announced. All clients first send what is within the limit.
func TestManyStreamedBodiesOverTheLimit(t *testing.T) {
	p := startProcess(t, 4)
	first, rest := chunked(largeBody-largeChunk, largeChunk), chunked(tooLarge, largeChunk)
	var within sync.WaitGroup
	within.Add(strayClients)
	p.run(strayClients, func(i int, c net.Conn) error {
		_, err := io.WriteString(c, head(fmt.Sprintf("stray-%d", i), http.MethodPost, standin.WritePath+"a", inChunks))
		if err == nil {
			err = writePieces(c, first)
		}
		within.Done()
		if err != nil {
			return err
		}
		within.Wait()
		return writePieces(c, rest)
	})
	p.check()
}

// Guards against a process that holds more than its memory for large answers that callers do not read.
func TestManyUnreadAnswers(t *testing.T) {
	p := startProcess(t, 4)
	p.set(standin.Large)
	p.run(strayClients, func(i int, c net.Conn) error {
		for n := range unreadRequests {
			if _, err := io.WriteString(c, head(fmt.Sprintf("unread-%d-%d", i, n), http.MethodGet, standin.ReadPath+strconv.Itoa(i), "")); err != nil {
				return err
			}
		}
		return nil
	})
	p.check()
}

// Guards against a process that spends all its descriptors on connections of callers.
func TestManyConnections(t *testing.T) {
	p := startProcess(t, 4)
	p.run(processDescriptors+strayClients, func(_ int, c net.Conn) error {
		_, err := io.WriteString(c, "GET ")
		return err
	})
	p.check()
}

// Guards against a process that holds more than its memory for heads that stop just short of their end, each line of which takes
// several times its bytes.
func TestManyLargeHeads(t *testing.T) {
	p := startProcess(t, 4)
	lines := strings.Repeat("a: b\r\n", (maxHeaderBytes-1<<10)/len("a: b\r\n"))
	p.run(4*strayClients, func(_ int, c net.Conn) error {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n"+lines)
		return err
	})
	p.check()
}

// Guards against limits that refuse a single request inside them while load is calm: the largest body, sent slowly but with
// progress for longer than the time for a header, and a large answer that is read slowly.
func TestSingleLargeRequestIsServed(t *testing.T) {
	p := startProcess(t, 1)
	const pieces, pause = 64, 60 * time.Millisecond
	c, err := p.dial()
	p.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, head("large", http.MethodPost, standin.WritePath+"a", announced(standin.MaxBody)))
	p.Expect(err).NotTo(HaveOccurred())
	for range pieces {
		_, err = c.Write(bytes.Repeat([]byte("x"), standin.MaxBody/pieces))
		p.Expect(err).NotTo(HaveOccurred())
		time.Sleep(pause)
	}
	reader := bufio.NewReaderSize(c, 4<<10)
	resp, err := http.ReadResponse(reader, nil)
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	_, err = io.Copy(io.Discard, resp.Body)
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(p.servers[0].Runs()[len(p.servers[0].Runs())-1].Body).To(HaveLen(standin.MaxBody))

	p.set(standin.Large)
	_, err = io.WriteString(c, head("large-answer", http.MethodGet, standin.ReadPath+"a", ""))
	p.Expect(err).NotTo(HaveOccurred())
	resp, err = http.ReadResponse(reader, nil)
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	read := 0
	for piece := make([]byte, standin.LargeAnswer/pieces); read < standin.LargeAnswer; {
		n, err := io.ReadFull(resp.Body, piece)
		p.Expect(err).NotTo(HaveOccurred())
		read += n
		time.Sleep(pause)
	}
	p.check()
}
