package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/edge"
)

// entryIP is the address of the entry instance.
const entryIP = "127.0.0.2"

// fakeControl immediately answers each request for a grant with the first backend server that is neither excluded nor drained.
type fakeControl struct {
	snapshot atomic.Pointer[state.Snapshot]
	mu       sync.Mutex
	granted  uint64
	results  map[message.GrantID]message.Result // of released grants
}

func (f *fakeControl) Snapshot() *state.Snapshot     { return f.snapshot.Load() }
func (f *fakeControl) Report(*message.OutcomeReport) {}
func (f *fakeControl) Release(_ state.RegionName, r message.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, twice := f.results[r.ID]; twice {
		panic(fmt.Sprintf("grant %v released twice", r.ID))
	}
	f.results[r.ID] = r.Result
}

func (f *fakeControl) Offer(ev control.Event) error {
	ask := ev.(control.Admit)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.snapshot.Load()
	for i := range s.Config.Backends {
		b := &s.Config.Backends[i]
		if b.Service == ask.Ask.Service && !slices.Contains(ask.Ask.Exclude, b.Name) && !s.Config.Drained(b) {
			f.granted++
			ask.Requester.Answer(admission.Answer{ID: message.GrantID(f.granted), Region: b.Region, Backend: b.Name})
			return nil
		}
	}
	ask.Requester.Answer(admission.Answer{Refusal: message.RefusedNoBackend})
	return nil
}

func (f *fakeControl) change(edit func(c *state.Config, s *state.Snapshot)) {
	s := *f.snapshot.Load()
	s.Config = s.Config.Clone()
	s.Config.Revision++
	edit(s.Config, &s)
	s.Index = state.NewIndex(s.Config)
	f.snapshot.Store(&s)
}

// held returns the number of grants that were granted and not released.
func (f *fakeControl) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.granted) - len(f.results)
}

// testEdge is an edge with a fake control goroutine and backend servers b0, b1, ... of the service "tapes".
type testEdge struct {
	*WithT
	control *fakeControl
	edge    *edge.Manager
	server  *httptest.Server

	opened, closed atomic.Int32 // connections to backend servers
}

func (f *testEdge) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := backend.DialFrom(netip.MustParseAddr(entryIP))(ctx, network, address)
	f.opened.Add(1)
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { f.closed.Add(1) })}, err
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func newTestEdge(t testing.TB, service state.Service, backends ...http.HandlerFunc) *testEdge {
	return newLimitedEdge(t, 0, service, backends...)
}

// newLimitedEdge is newTestEdge with a bound on the memory for bodies, in bytes.
func newLimitedEdge(t testing.TB, bodyMemory int64, service state.Service, backends ...http.HandlerFunc) *testEdge {
	f := &testEdge{WithT: NewWithT(t), control: &fakeControl{results: make(map[message.GrantID]message.Result)}}
	service.Name = "tapes"
	cfg := &state.Config{
		Revision: 1, Regions: []state.Region{{Name: "r", MaxRunning: 100}}, Services: []state.Service{service},
		Plans:     []state.Plan{{Name: "p", Regions: []state.RegionName{"r"}, Services: []state.PlanService{{Service: "tapes"}}}},
		Customers: []state.Customer{{Name: "c", Plan: "p"}},
	}
	for i, h := range backends {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		cfg.Backends = append(cfg.Backends, state.BackendServer{
			Name: state.BackendName(fmt.Sprintf("b%d", i)), Service: "tapes", Region: "r",
			Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
		})
	}
	self := state.Instance{Name: "e", Region: "r", Status: state.InstanceLive}
	f.control.snapshot.Store(&state.Snapshot{Self: self, Config: cfg, Index: state.NewIndex(cfg), Instances: []state.Instance{self}})
	f.edge = edge.New(edge.Options{Control: f.control, Backends: backend.New(f.dial), Log: hclog.NewNullLogger(), LookupWait: 300 * time.Millisecond, BodyMemory: bodyMemory})
	f.server = httptest.NewUnstartedServer(nil)
	f.server.Config = f.edge.Server()
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *testEdge) get(header ...string) *http.Response {
	resp, err := f.request(header...)
	f.Expect(err).NotTo(HaveOccurred())
	return resp
}

func (f *testEdge) request(header ...string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, f.server.URL+"/tapes/1", nil)
	f.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Azb-Customer", "c")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	return client.Do(req)
}
