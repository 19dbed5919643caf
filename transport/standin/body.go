package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"azurebridge/transport/standin/content"
)

// chunkSize is the number of bytes written at a time.
const chunkSize = 32 << 10

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// serveContent answers with a body that follows from the path, whole or a byte range of it.
func (b *Backend) serveContent(w http.ResponseWriter, r *http.Request, s *slot) {
	body := content.New(r.URL.Path, b.sizeOf(r))
	h := w.Header()
	h.Set("ETag", body.ETag())
	h.Set("Accept-Ranges", "bytes")
	h.Set("Content-Type", "application/octet-stream")
	h.Set(content.HeaderDigest, b.env.digests.of(body))
	from, end, status := int64(0), body.Size, http.StatusOK
	if first, last, ok := parseRange(r.Header.Get("Range"), body.Size); ok && matches(r.Header.Get("If-Range"), body.ETag()) {
		if first >= body.Size {
			s.leave()
			h.Set("Content-Range", fmt.Sprintf("bytes */%d", body.Size))
			w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
			return
		}
		from, end, status = first, last+1, http.StatusPartialContent
		h.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, body.Size))
	}
	if _, ok := b.env.faults.Hit(WrongBody, b.target); ok {
		body = body.Altered()
	}
	if _, ok := b.env.faults.Hit(Truncate, b.target); ok {
		end = from + (end-from)*3/4
	}
	cut := int64(-1)
	if _, ok := b.env.faults.Hit(CutBody, b.target); ok {
		cut = from + (end-from)/2
	}
	h.Set("Content-Length", strconv.FormatInt(end-from, 10))
	w.WriteHeader(status)
	if r.Method == http.MethodHead {
		return
	}
	b.write(w, s, body, from, end, cut)
}

// write sends the bytes from..end. It closes the connection at the offset cut unless that is negative.
func (b *Backend) write(w http.ResponseWriter, s *slot, body content.Body, from, end, cut int64) {
	buf := chunks.Get().(*[]byte)
	defer chunks.Put(buf)
	for at := from; at < end; {
		p := (*buf)[:min(int64(chunkSize), end-at)]
		if cut >= 0 && at+int64(len(p)) > cut {
			p = p[:max(cut-at, 0)]
			body.Fill(p, at)
			_, _ = w.Write(p)
			_ = http.NewResponseController(w).Flush()
			s.leave()
			panic(http.ErrAbortHandler)
		}
		body.Fill(p, at)
		at += int64(len(p))
		if at == end {
			s.leave()
		}
		if _, err := w.Write(p); err != nil {
			b.cancelled.Add(1)
			return
		}
		b.env.ledger.Carried(b.target.Region, s.peer, int64(len(p)))
	}
}

func matches(ifRange, etag string) bool { return ifRange == "" || ifRange == etag }

// parseRange parses `bytes=FIRST-` and `bytes=FIRST-LAST`; other forms are ignored, as RFC 9110 allows. The last byte is
// limited to the size.
func parseRange(v string, size int64) (first, last int64, ok bool) {
	spec, ok := strings.CutPrefix(v, "bytes=")
	if !ok {
		return 0, 0, false
	}
	a, z, ok := strings.Cut(spec, "-")
	if !ok {
		return 0, 0, false
	}
	first, ok = position(a)
	if !ok {
		return 0, 0, false
	}
	last = size - 1
	if z != "" {
		n, ok := position(z)
		if !ok || n < first {
			return 0, 0, false
		}
		last = min(last, n)
	}
	return first, last, true
}

// position parses a byte position: digits only, unlike strconv, which accepts a sign.
func position(s string) (int64, bool) {
	if s == "" || s[0] < '0' || s[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// digests caches the checksums of large bodies.
type digests struct {
	mu    sync.Mutex
	known map[content.Body]string
}

// Bounds of the cache of checksums.
const (
	minCachedDigest = 64 << 10 // bytes of a body; smaller ones are computed each time
	maxDigests      = 4096
)

func (d *digests) of(body content.Body) string {
	if body.Size < minCachedDigest {
		return body.Digest()
	}
	d.mu.Lock()
	v, ok := d.known[body]
	d.mu.Unlock()
	if ok {
		return v
	}
	v = body.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = make(map[content.Body]string)
	}
	if len(d.known) < maxDigests {
		d.known[body] = v
	}
	return v
}
