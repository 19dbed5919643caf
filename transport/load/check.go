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

// bodyCheck is the result of comparing a received body with the expected one.
type bodyCheck uint8

const (
	bodyWhole     bodyCheck = iota
	bodyAborted             // the body ended with an error, so the caller knows that it is incomplete
	bodyWrong               // bytes, ETag, digest or length are not those of the requested body
	bodyTruncated           // the body ended without an error before its last byte
)

const checkBuffer = 64 << 10 // bytes

var checkBuffers = sync.Pool{New: func() any { b := make([]byte, checkBuffer); return &b }}

// errUnexpectedResponse is the error for a response that is neither the whole body nor the requested range.
var errUnexpectedResponse = errors.New("response is not the requested body or range")

// bodyOffset returns the offset at which the body of the response starts. It fails unless the response is a whole body, or a
// range that starts at the requested offset.
func bodyOffset(resp *http.Response, requested int64) (int64, error) {
	if resp.StatusCode == http.StatusOK {
		return 0, nil
	}
	if resp.StatusCode != http.StatusPartialContent {
		return 0, errUnexpectedResponse
	}
	spec, _ := strings.CutPrefix(resp.Header.Get("Content-Range"), "bytes ")
	first, _, _ := strings.Cut(spec, "-")
	n, err := strconv.ParseInt(first, 10, 64)
	if err != nil || n != requested {
		return 0, errUnexpectedResponse
	}
	return n, nil
}

// checkBody compares the response with the bytes of body that start at offset. It reads in chunks, without building a copy of
// the body, and returns the offset that it reached.
func checkBody(resp *http.Response, body content.Body, offset int64) (int64, bodyCheck) {
	if resp.Header.Get("ETag") != body.ETag() {
		return offset, bodyWrong
	}
	buf := checkBuffers.Get().(*[]byte)
	defer checkBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if offset+int64(n) > body.Size || !body.Matches((*buf)[:n], offset) {
			return offset, bodyWrong
		}
		offset += int64(n)
		switch {
		case err == nil:
		case err != io.EOF:
			return offset, bodyAborted
		case offset < body.Size:
			return offset, bodyTruncated
		default:
			return offset, checkDigest(resp, body)
		}
	}
}

// maxDigestCheck is the max size of a body whose checksum header is compared too. The bytes of every body are compared anyway,
// so the checksum only shows that the header was forwarded unchanged.
const maxDigestCheck = 64 << 10 // bytes

func checkDigest(resp *http.Response, body content.Body) bodyCheck {
	if got := resp.Header.Get(content.HeaderDigest); got != "" && body.Size <= maxDigestCheck && got != body.Digest() {
		return bodyWrong
	}
	return bodyWhole
}
