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

// Guards against a look-up that waits on a silent connection for its whole deadline, and against unused connections to
// the same server being used after one has gone silent.
func TestFirstByteTimeoutIsRetriedElsewhere(t *testing.T) {
	var silent atomic.Bool
	release := make(chan struct{})
	var barrier sync.WaitGroup
	barrier.Add(2) // so that two connections are open at once
	service := state.Service{Kind: state.KindLookup, FirstByteTimeout: 100 * time.Millisecond, Deadline: 5 * time.Second, QueueTimeout: time.Second}
	f := newFront(t, service, func(_ http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-release
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		barrier.Done()
		barrier.Wait()
	}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b1") })
	defer close(release)
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { _ = f.get().Body.Close() })
	}
	both.Wait()
	silent.Store(true)
	resp := f.get()
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(string(body)).To(Equal("b1"))
	f.Expect(f.edge.Stats.Retries.Load()).To(BeEquivalentTo(1))
	f.Expect(f.closed.Load()).To(BeEquivalentTo(2), "the silent connection and the unused one")
}

// Guards against a submission on a silent connection being sent again or being called not run.
func TestSilentSubmissionIsUnknown(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	stall := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		<-release
	}
	f := newFront(t, state.Service{Kind: state.KindSubmission, FirstByteTimeout: 100 * time.Millisecond, QueueTimeout: time.Second}, stall, stall)
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

// Guards against backend servers taking all entry instances of a machine for one.
func TestBackendSeesEntryAddress(t *testing.T) {
	seen := make(chan string, 1)
	f := newFront(t, state.Service{Kind: state.KindLookup}, func(_ http.ResponseWriter, r *http.Request) { seen <- r.RemoteAddr })
	_ = f.get().Body.Close()
	f.Expect(<-seen).To(HavePrefix(entryIP + ":"))
}
