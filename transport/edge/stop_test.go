package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/callers"
	"azurebridge/state"
)

// Guards against a planned stop that aborts a download or refuses callers whose look-up is still cached, and against
// look-ups that still list the stopping instance.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(resumed) })
	// Look-ups have no idle timeout for bodies, so that the backend server may pause for as long as the test takes.
	f := newTestEdge(t, state.Service{Kind: state.KindLookup, QueueTimeout: time.Second}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/tapes/long" {
			serveResource(`"v1"`)(&truncatingWriter{ResponseWriter: w, remaining: 1000, onLimit: func() { close(paused); <-resumed }}, r)
		}
	})
	get := func(path string) *http.Response {
		req, _ := http.NewRequest(http.MethodGet, f.server.URL+path, nil)
		req.Header.Set("Azb-Customer", "c")
		resp, err := http.DefaultTransport.RoundTrip(req)
		f.Expect(err).NotTo(HaveOccurred())
		return resp
	}
	defer release()
	lookupEntries := func() int {
		resp := get(callers.PathLookup + "?customer=c")
		defer resp.Body.Close()
		var reply callers.LookupReply
		f.Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(Succeed())
		return len(reply.Entries)
	}
	f.Expect(lookupEntries()).To(Equal(1))
	first := get("/tapes/short")
	f.Expect(first.Close).To(BeFalse())
	_ = first.Body.Close()
	long := get("/tapes/long")
	defer long.Body.Close()
	<-paused
	f.control.change(func(_ *state.Config, s *state.Snapshot) { s.Leaving = true })
	f.Expect(lookupEntries()).To(BeZero())
	stopped := make(chan error, 1)
	go func() { stopped <- f.edge.Stop(context.Background(), f.server.Config, 0) }()
	f.Eventually(func() bool {
		resp := get("/tapes/short")
		_ = resp.Body.Close()
		f.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		return resp.Close
	}).Should(BeTrue())
	f.Eventually(func() error {
		resp, err := f.request()
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}, 10*time.Second).Should(HaveOccurred(), "the listener should be closed")
	f.Consistently(stopped, 100*time.Millisecond).ShouldNot(Receive())
	release()
	got, err := io.ReadAll(long.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(bytes.Equal(got, resource)).To(BeTrue())
	f.Eventually(stopped, 5*time.Second).Should(Receive(BeNil()))
}
