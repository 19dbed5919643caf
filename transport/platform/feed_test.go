package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"azurebridge/coordination/control"
	"azurebridge/state"
)

// Guards against an instance that cannot read the list of instances and tells nobody, and against a line for each failure.
func TestFailuresOfTheInstanceListAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	const failures = 3
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= failures {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"instances":[]}`)) // the client may have left
	}))
	t.Cleanup(server.Close)
	log := gbytes.NewBuffer()
	var listed atomic.Int32
	feed := NewFeed(New(strings.TrimPrefix(server.URL, "http://")), func(control.Event) error { listed.Add(1); return nil },
		func() state.Revision { return 0 }, hclog.New(&hclog.LoggerOptions{Output: log}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { feed.WatchInstances(ctx); close(done) }()
	g.Eventually(listed.Load, 10*time.Second).Should(BeNumerically(">", 0))
	cancel()
	<-done
	g.Expect(strings.Count(string(log.Contents()), "list of instances cannot be read")).To(Equal(1))
	g.Expect(strings.Count(string(log.Contents()), "list of instances is read again")).To(Equal(1))
}
