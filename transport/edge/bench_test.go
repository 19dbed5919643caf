package edge_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/edge"
)

// BenchmarkForward compares forwarding a 4 kB answer with net/http/httputil.ReverseProxy on the same machine. The cost of
// the caller and of the backend server is part of both; "direct" shows it alone.
func BenchmarkForward(b *testing.B) {
	answer := bytes.Repeat([]byte("x"), 4096)
	f := newTestEdge(b, state.Service{Kind: state.KindLookup, FirstByteTimeout: 2e9, Deadline: 5e9}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(answer)
	})
	server := edge.New(edge.Options{Control: &instantControl{snapshot: f.control.Snapshot()}, Backends: backend.New(nil), Log: hclog.NewNullLogger()}).Server()
	edgeServer := httptest.NewUnstartedServer(nil)
	edgeServer.Config = server
	edgeServer.Start()
	defer edgeServer.Close()
	target, _ := url.Parse("http://" + f.control.Snapshot().Config.Backends[0].Address.String())
	reverseProxy := httptest.NewServer(&httputil.ReverseProxy{
		Rewrite:    func(r *httputil.ProxyRequest) { r.SetURL(target) },
		BufferPool: &bufferPool{},
		Transport:  &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8},
	})
	defer reverseProxy.Close()
	b.Run("edge", func(b *testing.B) { measure(b, edgeServer.URL) })
	b.Run("reverseproxy", func(b *testing.B) { measure(b, reverseProxy.URL) })
	b.Run("direct", func(b *testing.B) { measure(b, target.String()) })
}

// instantControl grants the first backend server. It records nothing, because that would add to the measured cost.
type instantControl struct{ snapshot *state.Snapshot }

func (i *instantControl) Snapshot() *state.Snapshot                 { return i.snapshot }
func (i *instantControl) Report(*message.OutcomeReport)             {}
func (i *instantControl) Release(state.RegionName, message.Release) {}
func (i *instantControl) Offer(ev control.Event) error {
	b := &i.snapshot.Config.Backends[0]
	ev.(control.Admit).Requester.Answer(admission.Answer{ID: 1, Region: b.Region, Backend: b.Name})
	return nil
}

// bufferPool reuses ReverseProxy's buffers as the edge does its own, so that the comparison is fair.
type bufferPool struct{ sync.Pool }

func (p *bufferPool) Get() []byte {
	if b, ok := p.Pool.Get().(*[]byte); ok {
		return *b
	}
	return make([]byte, 32<<10)
}

func (p *bufferPool) Put(b []byte) { p.Pool.Put(&b) }

func measure(b *testing.B, base string) {
	g := NewWithT(b)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		req, _ := http.NewRequest(http.MethodGet, base+"/tapes/1", nil)
		req.Header.Set("Azb-Customer", "c")
		resp, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		n, _ := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if n != 4096 {
			b.Fatal(n)
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(cpu)/float64(b.N), "cpu-ns/op")
}
