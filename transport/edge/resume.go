package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/message"
	"azurebridge/internal/wait"
	"azurebridge/state"
	"azurebridge/transport/backend"
)

// Bounds of resumed answers.
const (
	MaxResumes               = 4                      // consecutive attempts to resume a body without MinResumeProgress
	MinResumeProgress        = 64 << 10               // bytes forwarded between two resumes that reset the count of attempts
	ResumeRetryDelay         = 200 * time.Millisecond // between attempts to resume a body
	MoveRetryDelay           = time.Second            // between attempts to move a body off a drained backend server
	MaxMoveWait              = time.Second            // for a grant to move a body, which its drained server could still send
	ResumableBodyIdleTimeout = time.Second            // longest read without data of a body that can be resumed
	PlainBodyIdleTimeout     = 10 * time.Second       // the same for other bodies
	maxRangeLength           = 64                     // bytes; longer range header fields are treated as invalid
	maxValidatorLength       = 256                    // bytes; answers with a longer ETag are not resumed
)

// Reasons for which an answer cannot be forwarded in full.
var (
	errBodyIdle     = errors.New("no data of the body received within the idle timeout")
	errBodyShort    = errors.New("the body ended early")
	errBodyLong     = errors.New("the body is longer than announced")
	errContentRange = errors.New("partial answer does not match the requested range")
	errUnframed     = errors.New("the end of the body cannot be distinguished from a lost connection")
	errChanged      = errors.New("the resource has changed")
)

// byteRange is a range of bytes of a resource of total bytes: first to last, both included. An unknown total is -1.
type byteRange struct {
	first, last, total int64
	etag               string
}

// resumable returns the byte range that the answer announces, and whether another backend server can be asked for the rest
// of it: a GET without body, a strong ETag, no content coding, byte ranges accepted, and a known length.
func resumable(r *http.Request, resp *http.Response) (byteRange, bool) {
	p := byteRange{etag: resp.Header.Get("Etag"), total: resp.ContentLength, last: resp.ContentLength - 1}
	strong := len(p.etag) >= 2 && len(p.etag) <= maxValidatorLength && p.etag[0] == '"' && p.etag[len(p.etag)-1] == '"'
	if r.Method != http.MethodGet || r.ContentLength != 0 || !strong || resp.ContentLength <= 0 || resp.Header.Get("Content-Encoding") != "" {
		return p, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return p, strings.EqualFold(resp.Header.Get("Accept-Ranges"), "bytes")
	case http.StatusPartialContent:
		got, ok := parseContentRange(resp.Header.Get("Content-Range"))
		p.first, p.last, p.total = got.first, got.last, got.total
		return p, ok && got.total > 0 && strings.EqualFold(resp.Header.Get("Accept-Ranges"), "bytes")
	}
	return p, false
}

// checkFraming returns an error for an answer with a wrong byte range or without a detectable end of its body.
func checkFraming(r *http.Request, resp *http.Response) error {
	bodyless := r.Method == http.MethodHead || resp.Body == http.NoBody
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnframed
	}
	if resp.StatusCode != http.StatusPartialContent || strings.HasPrefix(resp.Header.Get("Content-Type"), "multipart/byteranges") {
		return nil
	}
	got, ok := parseContentRange(resp.Header.Get("Content-Range"))
	if !ok || !rangeSatisfied(r.Header.Get("Range"), got) {
		return errors.Wrapf(errContentRange, "asked for %q, got %q", r.Header.Get("Range"), resp.Header.Get("Content-Range"))
	}
	if n := got.last - got.first + 1; resp.ContentLength >= 0 && resp.ContentLength != n && !bodyless {
		return errors.Wrapf(errContentRange, "%d bytes announced, range has %d", resp.ContentLength, n)
	}
	return nil
}

// rangeSatisfied reports whether got is a valid answer to the Range header field requested.
func rangeSatisfied(requested string, got byteRange) bool {
	spec, ok := strings.CutPrefix(requested, "bytes=")
	if !ok || len(requested) > maxRangeLength {
		return false
	}
	if strings.Contains(spec, ",") {
		return true // one of several ranges may be answered alone
	}
	from, to, ok := strings.Cut(strings.TrimSpace(spec), "-")
	if !ok {
		return false
	}
	if from == "" { // the last bytes of the resource
		n, err := strconv.ParseInt(to, 10, 64)
		return err == nil && got.total >= 0 && got.last == got.total-1 && got.first == max(0, got.total-n)
	}
	first, err := strconv.ParseInt(from, 10, 64)
	if err != nil || got.first != first {
		return false
	}
	if to == "" {
		return got.total < 0 || got.last == got.total-1
	}
	last, err := strconv.ParseInt(to, 10, 64)
	return err == nil && (got.last == last || (got.last < last && got.total >= 0 && got.last == got.total-1))
}

// parseContentRange reads "bytes first-last/total". An unknown total ("*") is -1.
func parseContentRange(v string) (byteRange, bool) {
	var p byteRange
	spec, ok := strings.CutPrefix(v, "bytes ")
	bytes, total, ok2 := strings.Cut(spec, "/")
	from, to, ok3 := strings.Cut(bytes, "-")
	if !ok || !ok2 || !ok3 || len(v) > maxRangeLength {
		return p, false
	}
	var errs [3]error
	p.first, errs[0] = strconv.ParseInt(from, 10, 64)
	p.last, errs[1] = strconv.ParseInt(to, 10, 64)
	if p.total = -1; total != "*" {
		p.total, errs[2] = strconv.ParseInt(total, 10, 64)
	}
	valid := errs == [3]error{} && p.first >= 0 && p.last >= p.first && (p.total == -1 || p.last < p.total)
	return p, valid
}

// conditionalHeaders are removed when a body is resumed, because they were evaluated for the first answer.
var conditionalHeaders = []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

// setRange makes a request ask for the byte range p, on condition that the resource is unchanged.
func setRange(h http.Header, p *byteRange) {
	for _, name := range conditionalHeaders {
		delete(h, name)
	}
	h["If-Range"] = []string{p.etag}
	h["Range"] = []string{"bytes=" + strconv.FormatInt(p.first, 10) + "-" + strconv.FormatInt(p.last, 10)}
}

// checkRange returns an error unless the answer has exactly the byte range p. After errChanged no retry can succeed.
func checkRange(p *byteRange, resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusRequestedRangeNotSatisfiable:
		return errChanged
	case resp.StatusCode != http.StatusPartialContent:
		return errors.Errorf("status %d when resuming", resp.StatusCode)
	case resp.Header.Get("Etag") != p.etag:
		return errors.Wrapf(errChanged, "validator %s, want %s", resp.Header.Get("Etag"), p.etag)
	}
	got, ok := parseContentRange(resp.Header.Get("Content-Range"))
	if !ok || got.first != p.first || got.last != p.last || got.total != p.total || resp.ContentLength != p.last-p.first+1 {
		return errors.Wrapf(errContentRange, "got %q", resp.Header.Get("Content-Range"))
	}
	return nil
}

// reopen gets a new grant and asks for the rest of the body. After errChanged no retry can succeed.
func (t *transfer) reopen(maxWait time.Duration) (*attempt, error) {
	rest := t.announced
	rest.first = t.nextOffset
	rq := *t.rq
	rq.resumeRange, rq.maxWait = &rest, maxWait
	a, refusal, err := t.m.open(&rq, t.exclude)
	if err != nil {
		return nil, err
	}
	if refusal != message.RefusedNone {
		t.exclude = t.exclude[:0] // allow the servers that failed again: they are better than none
		return nil, errors.Errorf("no grant to resume: %s", refusal)
	}
	if a.proof == backend.ProofAnswered {
		if a.err = checkRange(&rest, a.resp); a.err == nil {
			return a, nil
		}
	}
	t.m.discard(a)
	t.avoid(a.server.Name)
	return nil, a.err
}

// avoid excludes a backend server from the next grants. The last MaxResumes servers stay excluded.
func (t *transfer) avoid(name state.BackendName) {
	if len(t.exclude) == MaxResumes {
		t.exclude = append(t.exclude[:0], t.exclude[1:]...)
	}
	t.exclude = append(t.exclude, name)
}

// resume continues a body that ended early, with the rest of it from another backend server. It returns false when that is
// impossible.
func (t *transfer) resume(cause error) bool {
	if !t.canResume || t.rq.ended() {
		return false
	}
	if t.nextOffset-t.resumeOffset >= MinResumeProgress {
		t.resumes, t.exclude = 0, t.exclude[:0]
	}
	t.resumeOffset = t.nextOffset
	t.m.finish(t.attempt, resultOf(backend.ProofNone, cause))
	t.avoid(t.attempt.server.Name)
	t.attempt = nil
	for t.resumes < MaxResumes {
		t.resumes++
		a, err := t.reopen(t.rq.service.QueueTimeout)
		if err == nil {
			t.m.Stats.Resumed.Add(1)
			t.switchTo(a)
			return true
		}
		if errors.Is(err, errChanged) || !wait.For(t.rq.http.Context(), ResumeRetryDelay) || t.rq.ended() {
			return false
		}
	}
	return false
}

// moveDue reports whether the body should move to another backend server, because a newer configuration drained its own.
// It costs one pointer comparison while the snapshot is unchanged.
func (t *transfer) moveDue() bool {
	if !t.canResume {
		return false
	}
	if s := t.m.opts.Control.Snapshot(); s != t.snapshot {
		t.snapshot = s
		if s.Config.Revision != t.revision {
			t.revision = s.Config.Revision
			b := s.Index.Backend[t.attempt.server.Name]
			t.drained = b == nil || s.Config.Drained(b)
		}
	}
	return t.drained && !time.Now().Before(t.moveAt)
}

// move continues the body at another backend server. When none is available, the drained server continues to serve it until
// the next attempt: a drain interrupts no answer.
func (t *transfer) move() {
	t.avoid(t.attempt.server.Name)
	a, err := t.reopen(min(MaxMoveWait, t.rq.service.QueueTimeout))
	if err != nil {
		t.m.Stats.MoveFailed.Add(1)
		t.moveAt = time.Now().Add(MoveRetryDelay)
		return
	}
	t.m.Stats.Moved.Add(1)
	t.m.finish(t.attempt, message.ResultOK)
	t.switchTo(a)
}

// switchTo continues the body with attempt a, at the rate that its grant reserves.
func (t *transfer) switchTo(a *attempt) {
	t.attempt, t.drained, t.revision, t.snapshot = a, false, 0, nil
	t.pacer.rate = paceRate(t.rq.service, t.rq.snapshot.Self.Region, a.answer.Region)
}
