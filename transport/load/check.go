package load

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"azurebridge/transport/standin/content"
)

// finding is what a check of a body found.
type finding uint8

// Findings.
const (
	foundWhole     finding = iota
	foundCut               // the body ended with an error; the caller knows that it is not whole
	foundWrong             // bytes, validator or length are not those of the request
	foundTruncated         // the body ended without an error before its last byte
)

const checkBuffer = 64 << 10 // bytes

var checkBuffers = sync.Pool{New: func() any { b := make([]byte, checkBuffer); return &b }}

// errNotContent tells that an answer is not a body or part of one.
var errNotContent = errors.New("answer is not the content asked for")

// start returns the offset at which the body of an answer starts.
func start(resp *http.Response, asked int64) (int64, error) {
	if resp.StatusCode == http.StatusOK {
		return 0, nil
	}
	if resp.StatusCode != http.StatusPartialContent {
		return 0, errNotContent
	}
	spec, _ := strings.CutPrefix(resp.Header.Get("Content-Range"), "bytes ")
	first, _, _ := strings.Cut(spec, "-")
	n, err := strconv.ParseInt(first, 10, 64)
	if err != nil || n != asked {
		return 0, errNotContent
	}
	return n, nil
}

// check reads the answer with the bytes of body from offset on, in chunks and without a copy. It returns the offset
// that it reached.
func check(resp *http.Response, body content.Body, offset int64) (int64, finding) {
	if resp.Header.Get("ETag") != body.ETag() {
		return offset, foundWrong
	}
	buf := checkBuffers.Get().(*[]byte)
	defer checkBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if offset+int64(n) > body.Size || !body.Matches((*buf)[:n], offset) {
			return offset, foundWrong
		}
		offset += int64(n)
		switch {
		case err == nil:
		case err != io.EOF:
			return offset, foundCut
		case offset < body.Size:
			return offset, foundTruncated
		default:
			return offset, checkDigest(resp, body)
		}
	}
}

// maxDigestCheck bounds the bodies whose checksum header is compared too. The bytes of every body are compared with
// what was asked for, so the checksum only shows that the header was carried unchanged.
const maxDigestCheck = 64 << 10 // bytes

func checkDigest(resp *http.Response, body content.Body) finding {
	if got := resp.Header.Get(content.HeaderDigest); got != "" && body.Size <= maxDigestCheck && got != body.Digest() {
		return foundWrong
	}
	return foundWhole
}
