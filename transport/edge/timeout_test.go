package edge_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a look-up that waits on an unresponsive connection until its deadline, and against reuse of idle
// connections to the same server after one became unresponsive.
func TestFirstByteTimeoutIsRetriedElsewhere(t *testing.T) {
	var unresponsive atomic.Bool
	release := make(chan struct{})
	var barrier sync.WaitGroup
	barrier.Add(2) // so that two connections are open at once
	service := state.Service{Kind: state.KindLookup, FirstByteTimeout: 100 * time.Millisecond, Deadline: 5 * time.Second, QueueTimeout: time.Second}
	f := newTestEdge(t, service, func(_ http.ResponseWriter, r *http.Request) {
		if unresponsive.Load() {
			<-release
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		barrier.Done()
		barrier.Wait()
	}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b1") })
	defer close(release)
	var warmUp sync.WaitGroup
	for range 2 {
		warmUp.Go(func() { _ = f.get().Body.Close() })
	}
	warmUp.Wait()
	unresponsive.Store(true)
	resp := f.get()
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(string(body)).To(Equal("b1"))
	f.Expect(f.edge.Stats.Retries.Load()).To(BeEquivalentTo(1))
	f.Expect(f.closed.Load()).To(BeEquivalentTo(2), "the unresponsive connection and the idle one should be closed")
}

// Guards against a submission on an unresponsive connection being sent again or answered "not run".
func TestUnresponsiveSubmissionIsUnknown(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	stall := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		<-release
	}
	f := newTestEdge(t, state.Service{Kind: state.KindSubmission, FirstByteTimeout: 100 * time.Millisecond, QueueTimeout: time.Second}, stall, stall)
	defer close(release)
	req, err := http.NewRequest(http.MethodPost, f.server.URL+"/tapes/1", strings.NewReader("x"))
	f.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Azb-Customer", "c")
	resp, err := http.DefaultClient.Do(req)
	f.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	f.Expect(resp.Header.Get("Azb-Outcome")).To(Equal("unknown"))
	f.Expect(calls.Load()).To(BeEquivalentTo(1))
}

// Guards against entry instances on one machine that backend servers cannot distinguish, because connections do not come
// from the instance's own address.
func TestBackendSeesEntryAddress(t *testing.T) {
	seen := make(chan string, 1)
	f := newTestEdge(t, state.Service{Kind: state.KindLookup}, func(_ http.ResponseWriter, r *http.Request) { seen <- r.RemoteAddr })
	_ = f.get().Body.Close()
	f.Expect(<-seen).To(HavePrefix(entryIP + ":"))
}
