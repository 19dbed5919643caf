package edge_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// resource is the body of the tests: 300 kB of consecutive numbers, so that each position is distinct.
var resource = func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 300_000; i++ {
		b.WriteString(strconv.Itoa(i) + "\n")
	}
	return b.Bytes()[:300_000]
}()

// serveResource serves the resource with ranges, as a correct backend server does.
func serveResource(etag string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", etag)
		w.Header().Set("Repr-Digest", "sha-256=:x:")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(resource))
	}
}

// truncateAfter writes n bytes of another handler's body and then aborts the connection.
func truncateAfter(n int, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { h(&truncatingWriter{ResponseWriter: w, remaining: n}, r) }
}

type truncatingWriter struct {
	http.ResponseWriter
	remaining int
	onLimit   func() // called when remaining is used up; nil aborts the connection
}

func (c *truncatingWriter) Write(b []byte) (int, error) {
	if len(b) <= c.remaining {
		c.remaining -= len(b)
		return c.ResponseWriter.Write(b)
	}
	n, _ := c.ResponseWriter.Write(b[:c.remaining])
	c.remaining = 0
	c.ResponseWriter.(http.Flusher).Flush()
	if c.onLimit == nil {
		panic(http.ErrAbortHandler)
	}
	c.onLimit()
	c.remaining, c.onLimit = 1<<30, nil
	_, err := c.ResponseWriter.Write(b[n:])
	return len(b), err
}

var download = state.Service{Kind: state.KindDownload, FirstByteTimeout: 2 * time.Second, QueueTimeout: time.Second}

// Guards against a partial body being taken for the whole, and against resuming it with the wrong bytes.
func TestTruncatedBodyIsResumedOrAborted(t *testing.T) {
	good := serveResource(`"v1"`)
	fixed := func(status int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = w.Write(resource[:1000])
		}
	}
	for name, c := range map[string]struct {
		backends       []http.HandlerFunc
		requestedRange string // Range
		want           []byte // nil when the answer must be aborted
	}{
		"resumed at the next byte": {[]http.HandlerFunc{truncateAfter(100_001, good), good}, "", resource},
		"resumed twice":            {[]http.HandlerFunc{truncateAfter(100_001, good), truncateAfter(70_000, good), good}, "", resource},
		"range resumed":            {[]http.HandlerFunc{truncateAfter(1000, good), good}, "bytes=5000-200000", resource[5000:200001]},
		"suffix resumed":           {[]http.HandlerFunc{truncateAfter(1000, good), good}, "bytes=-5000", resource[len(resource)-5000:]},
		"changed validator":        {[]http.HandlerFunc{truncateAfter(1000, good), serveResource(`"v2"`), good}, "", nil},
		"weak validator":           {[]http.HandlerFunc{truncateAfter(1000, serveResource(`W/"v1"`)), serveResource(`W/"v1"`)}, "", nil},
		"whole body instead of the rest": {[]http.HandlerFunc{truncateAfter(1000, good), func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Range")
			good(w, r)
		}, good}, "", nil},
		"wrong range, then right": {[]http.HandlerFunc{truncateAfter(1000, good),
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 999-299999/300000"), good}, "", resource},
		"wrong total, then right": {[]http.HandlerFunc{truncateAfter(1000, good),
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 1000-299999/300001"), good}, "", resource},
		"no server left": {[]http.HandlerFunc{truncateAfter(1000, good), truncateAfter(0, good)}, "", nil},
		"range that was not asked for": {[]http.HandlerFunc{
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 0-999/300000"), good}, "bytes=5000-5999", resource[5000:6000]},
		"unknown end": {[]http.HandlerFunc{closeDelimited, good}, "", resource},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestEdge(t, download, c.backends...)
			var header []string
			if c.requestedRange != "" {
				header = []string{"Range", c.requestedRange}
			}
			resp := f.get(header...)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if c.want == nil {
				f.Expect(err).To(HaveOccurred())
				f.Expect(f.edge.Stats.CutAnswers.Load()).To(BeEquivalentTo(1))
			} else {
				f.Expect(err).NotTo(HaveOccurred())
				f.Expect(bytes.Equal(got, c.want)).To(BeTrue())
				f.Expect(resp.Header.Get("Repr-Digest")).To(Equal("sha-256=:x:"))
			}
			f.Eventually(f.control.held).Should(BeZero(), "all grants should be released")
		})
	}
}

// closeDelimited ends a body without length by closing the connection, which looks like a lost connection.
func closeDelimited(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), resource[:1000]...))
	_ = conn.Close()
}

// Guards against a caller that waits for a body whose server stopped sending without closing the connection.
func TestStalledBodyIsResumed(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	stalling := func(w http.ResponseWriter, r *http.Request) {
		serveResource(`"v1"`)(&truncatingWriter{ResponseWriter: w, remaining: 1000, onLimit: func() { <-release }}, r)
	}
	f := newTestEdge(t, download, stalling, serveResource(`"v1"`))
	resp := f.get()
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(bytes.Equal(got, resource)).To(BeTrue())
	f.Expect(f.edge.Stats.Resumed.Load()).To(BeEquivalentTo(1))
}

// Guards against a body staying on a drained backend server, and against a drain aborting an answer when no other server is
// available.
func TestDrainMovesBody(t *testing.T) {
	for _, bothDrained := range []bool{false, true} {
		var drained, movedRequests atomic.Int32
		var f *testEdge
		f = newTestEdge(t, download, func(w http.ResponseWriter, r *http.Request) {
			serveResource(`"v1"`)(&truncatingWriter{ResponseWriter: w, remaining: 1000, onLimit: func() {
				f.control.change(func(c *state.Config, _ *state.Snapshot) {
					c.Drains = []state.Drain{{Kind: state.DrainBackend, Name: "b0"}}
					if bothDrained {
						c.Drains = append(c.Drains, state.Drain{Kind: state.DrainBackend, Name: "b1"})
					}
				})
				drained.Add(1)
			}}, r)
		}, func(w http.ResponseWriter, r *http.Request) {
			movedRequests.Add(1)
			serveResource(`"v1"`)(w, r)
		})
		resp := f.get()
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(bytes.Equal(got, resource)).To(BeTrue())
		f.Expect(drained.Load()).To(BeEquivalentTo(1))
		f.Expect(movedRequests.Load() == 1).To(Equal(!bothDrained))
		f.Eventually(f.control.held).Should(BeZero())
	}
}
