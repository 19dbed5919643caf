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

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// serveContent answers with the body generated from the path and its size: the whole body or the requested byte range.
func (b *Backend) serveContent(w http.ResponseWriter, r *http.Request, s *slot) {
	body := content.New(r.URL.Path, b.sizeOf(r))
	h := w.Header()
	h.Set("ETag", body.ETag())
	h.Set("Accept-Ranges", "bytes")
	h.Set("Content-Type", "application/octet-stream")
	h.Set(content.HeaderDigest, b.env.digests.digest(body))
	from, end, status := int64(0), body.Size, http.StatusOK
	if first, last, ok := parseRange(r.Header.Get("Range"), body.Size); ok && ifRangeMatches(r.Header.Get("If-Range"), body.ETag()) {
		if first >= body.Size {
			s.release()
			h.Set("Content-Range", fmt.Sprintf("bytes */%d", body.Size))
			w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
			return
		}
		from, end, status = first, last+1, http.StatusPartialContent
		h.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, body.Size))
	}
	if _, ok := b.env.faults.Triggered(WrongBody, b.target); ok {
		body = body.Altered()
	}
	if _, ok := b.env.faults.Triggered(Truncate, b.target); ok {
		end = from + (end-from)*3/4
	}
	abortAt := int64(-1)
	if _, ok := b.env.faults.Triggered(CutBody, b.target); ok {
		abortAt = from + (end-from)/2
	}
	h.Set("Content-Length", strconv.FormatInt(end-from, 10))
	w.WriteHeader(status)
	if r.Method == http.MethodHead {
		return
	}
	b.write(w, s, body, from, end, abortAt)
}

// write sends body[from:end]. It closes the connection at the offset abortAt unless that is negative.
func (b *Backend) write(w http.ResponseWriter, s *slot, body content.Body, from, end, abortAt int64) {
	buf := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buf)
	for offset := from; offset < end; {
		p := (*buf)[:min(int64(chunkSize), end-offset)]
		if abortAt >= 0 && offset+int64(len(p)) > abortAt {
			p = p[:max(abortAt-offset, 0)]
			body.Fill(p, offset)
			_, _ = w.Write(p)
			_ = http.NewResponseController(w).Flush()
			s.release()
			panic(http.ErrAbortHandler)
		}
		body.Fill(p, offset)
		offset += int64(len(p))
		if offset == end {
			s.release()
		}
		if _, err := w.Write(p); err != nil {
			b.cancelled.Add(1)
			return
		}
		b.env.ledger.AddLinkBytes(b.target.Region, s.peer, int64(len(p)))
	}
}

func ifRangeMatches(ifRange, etag string) bool { return ifRange == "" || ifRange == etag }

// parseRange parses `bytes=FIRST-` and `bytes=FIRST-LAST`; other forms are ignored, as RFC 9110 allows. The last byte is
// limited to the size.
func parseRange(v string, size int64) (first, last int64, ok bool) {
	spec, ok := strings.CutPrefix(v, "bytes=")
	if !ok {
		return 0, 0, false
	}
	firstText, lastText, ok := strings.Cut(spec, "-")
	if !ok {
		return 0, 0, false
	}
	first, ok = parsePosition(firstText)
	if !ok {
		return 0, 0, false
	}
	last = size - 1
	if lastText != "" {
		n, ok := parsePosition(lastText)
		if !ok || n < first {
			return 0, 0, false
		}
		last = min(last, n)
	}
	return first, last, true
}

// parsePosition parses a byte position: digits only, unlike strconv, which accepts a sign.
func parsePosition(s string) (int64, bool) {
	if s == "" || s[0] < '0' || s[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// digests caches the Repr-Digest values of large bodies.
type digests struct {
	mu     sync.Mutex
	byBody map[content.Body]string
}

const (
	minCachedDigest = 64 << 10 // bytes; the values of smaller bodies are computed each time
	maxDigests      = 4096
)

func (d *digests) digest(body content.Body) string {
	if body.Size < minCachedDigest {
		return body.Digest()
	}
	d.mu.Lock()
	v, ok := d.byBody[body]
	d.mu.Unlock()
	if ok {
		return v
	}
	v = body.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byBody == nil {
		d.byBody = make(map[content.Body]string)
	}
	if len(d.byBody) < maxDigests {
		d.byBody[body] = v
	}
	return v
}
