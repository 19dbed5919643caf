package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"azurebridge/protocol/callers"
	"azurebridge/state"
	"azurebridge/transport/standin/content"
)

// Backend is the stand-in of one backend server.
type Backend struct {
	server  *state.BackendServer
	service *state.Service
	ledger  *Ledger
	work    time.Duration // time that a request holds a slot before the answer begins
	size    int64         // bytes of a body
	running atomic.Int64
	shed    atomic.Uint64
}

// NewBackend returns the stand-in of a backend server.
func NewBackend(server *state.BackendServer, service *state.Service, ledger *Ledger, work time.Duration, size int64) *Backend {
	return &Backend{server: server, service: service, ledger: ledger, work: work, size: size}
}

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
		return
	case "/load":
		reply(w, map[string]int64{"running": b.running.Load(), "slots": int64(b.server.Slots)})
		return
	}
	if b.running.Add(1) > int64(b.server.Slots) {
		b.running.Add(-1)
		b.shed.Add(1)
		w.Header().Set(callers.HeaderNotRun, "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	if b.service.Kind == state.KindSubmission && r.Method == http.MethodPost {
		b.serveSubmission(w, r)
		return
	}
	if !b.pause(r) {
		return
	}
	b.serveContent(w, r)
}

// pause holds the slot for the service time. It returns false when the request was cancelled.
func (b *Backend) pause(r *http.Request) bool {
	t := time.NewTimer(b.work)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) serveSubmission(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var sub Submission
	if err := json.Unmarshal(data, &sub); err != nil || sub.ID == "" {
		http.Error(w, "submission has no id", http.StatusBadRequest)
		return
	}
	b.ledger.Ran(sub.ID, b.server.Name)
	if b.pause(r) {
		reply(w, Receipt{ID: sub.ID, Server: string(b.server.Name)})
	}
}

// serveContent answers with a body that follows from the path, whole or a byte range of it.
func (b *Backend) serveContent(w http.ResponseWriter, r *http.Request) {
	body := content.New(r.URL.Path, b.sizeOf(r))
	h := w.Header()
	h.Set("ETag", body.ETag())
	h.Set("Accept-Ranges", "bytes")
	h.Set("Content-Type", "application/octet-stream")
	start, status := int64(0), http.StatusOK
	if from, ok := rangeStart(r.Header.Get("Range")); ok && matches(r.Header.Get("If-Range"), body.ETag()) {
		if from >= body.Size {
			h.Set("Content-Range", fmt.Sprintf("bytes */%d", body.Size))
			w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
			return
		}
		start, status = from, http.StatusPartialContent
		h.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, body.Size-1, body.Size))
	}
	h.Set("Content-Length", strconv.FormatInt(body.Size-start, 10))
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = io.Copy(w, body.Reader(start, body.Size)) // the client may be gone
	}
}

// sizeOf returns the size of the body: the query's `size`, or the default of the service.
func (b *Backend) sizeOf(r *http.Request) int64 {
	const maxSize = 1 << 34 // bytes
	if n, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && n >= 0 && n <= maxSize {
		return n
	}
	return b.size
}

func matches(ifRange, etag string) bool { return ifRange == "" || ifRange == etag }

// rangeStart parses `bytes=N-`.
func rangeStart(v string) (int64, bool) {
	digits, ok := strings.CutPrefix(v, "bytes=")
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, "-")
	n, err := strconv.ParseInt(digits, 10, 64)
	return n, ok && err == nil && n >= 0
}
