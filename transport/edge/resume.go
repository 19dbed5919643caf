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
	MaxResumes      = 4        // in a row without ResumeProgress
	ResumeProgress  = 64 << 10 // bytes; fewer do not count as progress
	ResumePause     = 200 * time.Millisecond
	MoveRetryDelay  = time.Second // between attempts to move a body off a drained backend server
	MaxMoveWait     = time.Second // for a grant while the body could still be read from the drained server
	IdleBody        = time.Second // without a byte, after which a body that can be resumed counts as silent
	IdlePlainBody   = 10 * time.Second
	maxRangeLength  = 64 // bytes of a range header field that is understood
	validatorMaxLen = 256
)

// Reasons for which an answer is not whole.
var (
	errBodyIdle     = errors.New("no byte of the body in time")
	errBodyShort    = errors.New("the body ended early")
	errBodyLong     = errors.New("the body is longer than announced")
	errContentRange = errors.New("partial answer does not match the requested range")
	errUnframed     = errors.New("the end of the body cannot be told from a lost connection")
	errChanged      = errors.New("the resource has changed")
)

// part is a range of bytes of a resource, first to last, both included.
type part struct {
	first, last, total int64
	etag               string
}

// resumable returns the bytes that the answer announces, when another backend server can be asked for the rest of them:
// a GET, a strong validator, byte ranges accepted, and a known length.
func resumable(r *http.Request, resp *http.Response) (part, bool) {
	p := part{etag: resp.Header.Get("Etag"), total: resp.ContentLength, last: resp.ContentLength - 1}
	strong := len(p.etag) >= 2 && len(p.etag) <= validatorMaxLen && p.etag[0] == '"' && p.etag[len(p.etag)-1] == '"'
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

// checkFraming returns an error for an answer whose bytes or whose end could be mistaken.
func checkFraming(r *http.Request, resp *http.Response) error {
	bodyless := r.Method == http.MethodHead || resp.Body == http.NoBody
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnframed
	}
	if resp.StatusCode != http.StatusPartialContent || strings.HasPrefix(resp.Header.Get("Content-Type"), "multipart/byteranges") {
		return nil
	}
	got, ok := parseContentRange(resp.Header.Get("Content-Range"))
	if !ok || !answers(r.Header.Get("Range"), got) {
		return errors.Wrapf(errContentRange, "asked for %q, got %q", r.Header.Get("Range"), resp.Header.Get("Content-Range"))
	}
	if n := got.last - got.first + 1; resp.ContentLength >= 0 && resp.ContentLength != n && !bodyless {
		return errors.Wrapf(errContentRange, "%d bytes announced, range has %d", resp.ContentLength, n)
	}
	return nil
}

// answers reports whether a Range header field may be answered with the part.
func answers(asked string, got part) bool {
	spec, ok := strings.CutPrefix(asked, "bytes=")
	if !ok || len(asked) > maxRangeLength {
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
func parseContentRange(v string) (part, bool) {
	var p part
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

// conditions lists the header fields of a caller's condition. They were evaluated for the first answer.
var conditions = []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

// setPart makes a request ask for the rest of a resource, if it is unchanged.
func setPart(h http.Header, p *part) {
	for _, name := range conditions {
		delete(h, name)
	}
	h["If-Range"] = []string{p.etag}
	h["Range"] = []string{"bytes=" + strconv.FormatInt(p.first, 10) + "-" + strconv.FormatInt(p.last, 10)}
}

// checkPart returns an error unless the answer has exactly the part that was asked for. errChanged is final.
func checkPart(p *part, resp *http.Response) error {
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

// reopen gets a new grant and asks for the rest of the body. An error of errChanged cannot be helped by another attempt.
func (x *transfer) reopen(wait time.Duration) (*attempt, error) {
	rest := x.part
	rest.first = x.next
	rq := *x.rq
	rq.part, rq.wait = &rest, wait
	at, why, err := x.m.open(&rq, x.exclude)
	if err != nil {
		return nil, err
	}
	if why != message.RefusedNone {
		x.exclude = x.exclude[:0] // better a server that failed before than none
		return nil, errors.Errorf("no grant to resume: %s", why)
	}
	if at.proof == backend.ProofAnswered {
		if at.err = checkPart(&rest, at.resp); at.err == nil {
			return at, nil
		}
	}
	x.m.discard(at)
	x.avoid(at.server.Name)
	return nil, at.err
}

// avoid asks for a grant at another backend server next time.
func (x *transfer) avoid(name state.BackendName) {
	if len(x.exclude) == MaxResumes {
		x.exclude = append(x.exclude[:0], x.exclude[1:]...)
	}
	x.exclude = append(x.exclude, name)
}

// resume continues a body that ended early at another backend server. It returns false when that is impossible.
func (x *transfer) resume(cause error) bool {
	if !x.canResume || x.rq.ended() {
		return false
	}
	if x.next-x.resumedAt >= ResumeProgress {
		x.resumes, x.exclude = 0, x.exclude[:0]
	}
	x.resumedAt = x.next
	x.m.finish(x.at, resultOf(backend.ProofNone, cause))
	x.avoid(x.at.server.Name)
	x.at = nil
	for x.resumes < MaxResumes {
		x.resumes++
		at, err := x.reopen(x.rq.service.QueueTimeout)
		if err == nil {
			x.m.Stats.Resumed.Add(1)
			x.use(at)
			return true
		}
		if errors.Is(err, errChanged) || !wait.For(x.rq.http.Context(), ResumePause) || x.rq.ended() {
			return false
		}
	}
	return false
}

// moveDue reports whether the body should move to another backend server, because its own was drained by a
// configuration that came into force meanwhile. It costs one pointer comparison while nothing has changed.
func (x *transfer) moveDue() bool {
	if !x.canResume {
		return false
	}
	if s := x.m.opts.Control.Snapshot(); s != x.snapshot {
		x.snapshot = s
		if s.Config.Revision != x.revision {
			x.revision = s.Config.Revision
			b := s.Index.Backend[x.at.server.Name]
			x.drained = b == nil || s.Config.Drained(b)
		}
	}
	return x.drained && !time.Now().Before(x.moveAt)
}

// move continues the body at another backend server. While none can be had, the drained server goes on serving it:
// a drain interrupts no answer.
func (x *transfer) move() {
	x.avoid(x.at.server.Name)
	at, err := x.reopen(min(MaxMoveWait, x.rq.service.QueueTimeout))
	if err != nil {
		x.m.Stats.MoveFailed.Add(1)
		x.moveAt = time.Now().Add(MoveRetryDelay)
		return
	}
	x.m.Stats.Moved.Add(1)
	x.m.finish(x.at, message.ResultOK)
	x.use(at)
}

// use reads the body under another grant from now on, at the rate that this grant reserves.
func (x *transfer) use(at *attempt) {
	x.at, x.drained, x.revision, x.snapshot = at, false, 0, nil
	x.pacer.rate = paceRate(x.rq.service, x.rq.snapshot.Self.Region, at.answer.Region)
}
