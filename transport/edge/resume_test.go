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

// tape is the body of the tests: 300 kB in which each position is distinct.
var tape = func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 300_000; i++ {
		b.WriteString(strconv.Itoa(i) + "\n")
	}
	return b.Bytes()[:300_000]
}()

// whole serves the tape with ranges, as a correct backend server does.
func whole(etag string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", etag)
		w.Header().Set("Repr-Digest", "sha-256=:x:")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(tape))
	}
}

// cutAfter passes n bytes of another handler's body on and then breaks the connection.
func cutAfter(n int, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { h(&cutWriter{ResponseWriter: w, left: n}, r) }
}

type cutWriter struct {
	http.ResponseWriter
	left int
	stop func() // called at the cut; nil breaks the connection
}

func (c *cutWriter) Write(b []byte) (int, error) {
	if len(b) <= c.left {
		c.left -= len(b)
		return c.ResponseWriter.Write(b)
	}
	n, _ := c.ResponseWriter.Write(b[:c.left])
	c.left = 0
	c.ResponseWriter.(http.Flusher).Flush()
	if c.stop == nil {
		panic(http.ErrAbortHandler)
	}
	c.stop()
	c.left, c.stop = 1<<30, nil
	_, err := c.ResponseWriter.Write(b[n:])
	return len(b), err
}

var download = state.Service{Kind: state.KindDownload, FirstByteTimeout: 2 * time.Second, QueueTimeout: time.Second}

// Guards against a part of a body being taken for the whole, and against a wrong continuation of it.
func TestBodyThatEndsEarly(t *testing.T) {
	good := whole(`"v1"`)
	fixed := func(status int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = w.Write(tape[:1000])
		}
	}
	for name, c := range map[string]struct {
		backends []http.HandlerFunc
		asked    string // Range
		want     []byte // nil when the answer must be cut
	}{
		"resumed at the next byte": {[]http.HandlerFunc{cutAfter(100_001, good), good}, "", tape},
		"resumed twice":            {[]http.HandlerFunc{cutAfter(100_001, good), cutAfter(70_000, good), good}, "", tape},
		"range resumed":            {[]http.HandlerFunc{cutAfter(1000, good), good}, "bytes=5000-200000", tape[5000:200001]},
		"suffix resumed":           {[]http.HandlerFunc{cutAfter(1000, good), good}, "bytes=-5000", tape[len(tape)-5000:]},
		"changed validator":        {[]http.HandlerFunc{cutAfter(1000, good), whole(`"v2"`), good}, "", nil},
		"weak validator":           {[]http.HandlerFunc{cutAfter(1000, whole(`W/"v1"`)), whole(`W/"v1"`)}, "", nil},
		"whole body instead of the rest": {[]http.HandlerFunc{cutAfter(1000, good), func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Range")
			good(w, r)
		}, good}, "", nil},
		"wrong range, then right": {[]http.HandlerFunc{cutAfter(1000, good),
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 999-299999/300000"), good}, "", tape},
		"wrong total, then right": {[]http.HandlerFunc{cutAfter(1000, good),
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 1000-299999/300001"), good}, "", tape},
		"no server left": {[]http.HandlerFunc{cutAfter(1000, good), cutAfter(0, good)}, "", nil},
		"range that was not asked for": {[]http.HandlerFunc{
			fixed(206, "Etag", `"v1"`, "Content-Range", "bytes 0-999/300000"), good}, "bytes=5000-5999", tape[5000:6000]},
		"unknown end": {[]http.HandlerFunc{closeDelimited, good}, "", tape},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, download, c.backends...)
			var header []string
			if c.asked != "" {
				header = []string{"Range", c.asked}
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
			f.Eventually(f.control.held).Should(BeZero(), "grants not released")
		})
	}
}

// closeDelimited ends a body without length by closing the connection, as a lost connection would.
func closeDelimited(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), tape[:1000]...))
	_ = conn.Close()
}

// Guards against a body that stops without a sign holding its caller.
func TestSilentBodyIsResumed(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := func(w http.ResponseWriter, r *http.Request) {
		whole(`"v1"`)(&cutWriter{ResponseWriter: w, left: 1000, stop: func() { <-release }}, r)
	}
	f := newFront(t, download, silent, whole(`"v1"`))
	resp := f.get()
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(bytes.Equal(got, tape)).To(BeTrue())
	f.Expect(f.edge.Stats.Resumed.Load()).To(BeEquivalentTo(1))
}

// Guards against a stream staying on a backend server that is drained, and against a drain cutting an answer when no
// other server can take it.
func TestDrainMovesBody(t *testing.T) {
	for _, alone := range []bool{false, true} {
		var drained, second atomic.Int32
		var f *front
		f = newFront(t, download, func(w http.ResponseWriter, r *http.Request) {
			whole(`"v1"`)(&cutWriter{ResponseWriter: w, left: 1000, stop: func() {
				f.control.change(func(c *state.Config, _ *state.Snapshot) {
					c.Drains = []state.Drain{{Kind: state.DrainBackend, Name: "b0"}}
					if alone {
						c.Drains = append(c.Drains, state.Drain{Kind: state.DrainBackend, Name: "b1"})
					}
				})
				drained.Add(1)
			}}, r)
		}, func(w http.ResponseWriter, r *http.Request) {
			second.Add(1)
			whole(`"v1"`)(w, r)
		})
		resp := f.get()
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(bytes.Equal(got, tape)).To(BeTrue())
		f.Expect(drained.Load()).To(BeEquivalentTo(1))
		f.Expect(second.Load() == 1).To(Equal(!alone))
		f.Eventually(f.control.held).Should(BeZero())
	}
}
