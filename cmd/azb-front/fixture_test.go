package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/internal/freeport"
	"azurebridge/platform/standin"
	"azurebridge/protocol/settings"
	"azurebridge/state"
)

// waitTimeout is the timeout of a test's wait for an event that normally happens within milliseconds.
const waitTimeout = 15 * time.Second

// fixture is one instance with a stand-in store and stand-in backend servers, all in the test process.
type fixture struct {
	*WithT
	t           *testing.T
	store       *standin.Store
	servers     []*standin.Server
	program     *program
	output      *logBuffer
	lastRequest int      // number of the last request sent
	seeds       []string // peer addresses that instances started from now on ask at their start
	path        string   // settings file of the instances; it exists only if a test writes it
}

// logBuffer collects the log output. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// text returns everything that has been written.
func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// lines returns the log lines that have the given message.
func (b *logBuffer) lines(message string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for _, line := range strings.Split(b.b.String(), "\n") {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["@message"] == message {
			out = append(out, fields)
		}
	}
	return out
}

// Timeout and target latency of the routes, in milliseconds.
const (
	longTimeout   = 60_000
	targetLatency = 800
)

// newFixture starts an instance with n servers, and waits until the servers are usable and the number of instances is known.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{WithT: NewWithT(t), t: t, store: standin.NewStore(), output: &logBuffer{}, path: filepath.Join(t.TempDir(), "front.ini")}
	t.Cleanup(f.store.Close)
	f.putTable(1, longTimeout)
	for i := range n {
		s, err := standin.NewServer(fmt.Sprintf("i-%d", i))
		f.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.putServer(s, "ready")
	}
	f.program = f.start("front-1")
	f.Eventually(func() int { return len(f.usable()) }, waitTimeout).Should(Equal(n))
	f.Eventually(func() int { return f.program.loop.View().Instances }, waitTimeout).Should(Equal(1), "shared limits need the number of instances")
	return f
}

func (f *fixture) putTable(version, timeout int) {
	f.store.PutTable(version, timeout, targetLatency)
}

// awaitTable waits until the given version of the routing table is in force.
func (f *fixture) awaitTable(version int) {
	f.t.Helper()
	f.Eventually(func() int { return int(f.program.loop.View().Table.Version) }, waitTimeout).Should(Equal(version))
}

func (f *fixture) putServer(s *standin.Server, state string) {
	f.store.PutServer(s.ID, s, "north-a", state)
}

// start starts an instance on free ports.
func (f *fixture) start(name string) *program {
	f.t.Helper()
	cfg := &settings.Front{
		Name: state.InstanceName(name), Region: "north", Domain: "north-a", Store: netip.MustParseAddrPort(f.store.Address()),
		Callers: freePort(f.t), Ready: freePort(f.t), Directory: freePort(f.t), Peers: freePort(f.t), Metrics: freePort(f.t),
		Regions: map[state.DomainName]state.RegionName{"north-a": "north"}, LogLevel: "info", Seeds: f.seeds,
		Limits: settings.FrontLimits{
			StopGrace: 10 * time.Second, LookupTTL: 100 * time.Millisecond, RetryRatio: 0.2, RetryExtra: 100,
			RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdTolerance: 5,
		},
	}
	p, err := newProgram(cfg, f.path, f.output)
	f.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() { p.logWriter.Run(ctx); close(logged) }()
	f.t.Cleanup(func() { cancel(); <-logged })
	f.Expect(p.start(ctx, make(chan error, maxServers))).To(Succeed())
	return p
}

// testPorts are the ports of the instances. Test processes start at different ones.
var testPorts = freeport.Range{First: 31_300, Count: 1_400}

func init() { testPorts.Skip(os.Getpid() * 97) }

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := testPorts.Next()
	if err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(address)
}

// usable returns the names of the servers that requests may be sent to.
func (f *fixture) usable() []string {
	var out []string
	if s := f.program.loop.View().Services["svc"]; s != nil {
		for _, m := range s.Servers {
			out = append(out, string(m.Name))
		}
	}
	return out
}

// answer is what a caller received.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // set when the answer is missing or incomplete
}

// send sends a request with a unique id on the client's connections.
func (f *fixture) send(ctx context.Context, client *http.Client, method, path, body string) answer {
	f.lastRequest++
	return f.sendWith(ctx, fmt.Sprintf("req-%d", f.lastRequest), client, method, path, body)
}

// sendAs sends a request with the given id.
func (f *fixture) sendAs(id string, client *http.Client, method, path, body string) answer {
	return f.sendWith(context.Background(), id, client, method, path, body)
}

func (f *fixture) sendWith(ctx context.Context, id string, client *http.Client, method, path, body string) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.program.cfg.Callers.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = standin.Host
	for name, value := range standin.CallerHeaders(id, "7", "50000") {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{id, resp.StatusCode, resp.Header, string(data), err}
}

// stream sends a request whose body has no declared length.
func (f *fixture) stream(id string, body io.Reader) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.program.cfg.Callers.String()+standin.WritePath, io.MultiReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	r.Host = standin.Host
	for name, value := range standin.CallerHeaders(id, "7", "50000") {
		r.Header.Set(name, value)
	}
	resp, err := f.client().Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	return answer{id: id, status: resp.StatusCode}
}

// read sends a request that may run more than once; write sends one that must run at most once.
func (f *fixture) read() answer {
	return f.send(context.Background(), f.client(), http.MethodGet, "/read/a?q=1", "")
}
func (f *fixture) write() answer {
	return f.send(context.Background(), f.client(), http.MethodPost, "/write/a", "a donation")
}

func (f *fixture) client() *http.Client {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	f.t.Cleanup(c.CloseIdleConnections)
	return c
}

// runs counts the runs of a request at all servers.
func (f *fixture) runs(id string) (n int) {
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// preferred returns the server that receives the requests for the tests' object, and the others.
func (f *fixture) preferred() (first *standin.Server, others []*standin.Server) {
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusOK))
	for _, s := range f.servers {
		if strings.Contains(a.body, "answer of "+s.ID+" ") {
			first = s
		} else {
			others = append(others, s)
		}
	}
	return first, others
}
