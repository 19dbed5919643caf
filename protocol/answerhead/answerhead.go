// Package answerhead checks that the head of an HTTP/1.1 answer is well formed by itself. Bytes that belong to no request may stand
// before the head of the true answer, so that a lenient parser reads both as one head.
package answerhead

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Errors of Check.
var (
	ErrStatusLine = errors.New("malformed status line")
	ErrHeader     = errors.New("malformed header line")
	ErrTwoHeads   = errors.New("a status line within the head")
)

var lineEnd = []byte("\r\n")

// Check returns an error unless head is one status line and header lines, each ended by CRLF, and an empty line. A status line
// within another line means that the beginning of another answer stands before it.
func Check(head []byte) error {
	line, rest, ok := bytes.Cut(head, lineEnd)
	if !ok || !isStatusLine(line) {
		return ErrStatusLine
	}
	if HasStatusLine(string(line[1:])) {
		return ErrTwoHeads
	}
	for {
		line, rest, ok = bytes.Cut(rest, lineEnd)
		switch {
		case !ok:
			return ErrHeader
		case len(line) == 0 && len(rest) > 0:
			return ErrHeader
		case len(line) == 0:
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
}

// ValidStatus reports whether HTTP defines the class of a status (RFC 9110, section 15).
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// isStatusLine reports whether a line is "HTTP/1.x NNN" with a valid status, with or without a reason.
func isStatusLine(line []byte) bool {
	if !startsStatusLine(string(line)) || line[5] != '1' {
		return false
	}
	status, err := strconv.Atoi(string(line[len("HTTP/1.1 "):len("HTTP/1.1 200")]))
	if err != nil || !ValidStatus(status) {
		return false
	}
	reason := line[len("HTTP/1.1 200"):]
	return len(reason) == 0 || reason[0] == ' ' && httpguts.ValidHeaderFieldValue(string(reason))
}

func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)):
		return ErrHeader
	case HasStatusLine(string(value)):
		return ErrTwoHeads
	}
	return nil
}

// HasStatusLine reports whether a text contains the beginning of a status line, "HTTP/N.N NNN".
func HasStatusLine(s string) bool {
	for {
		i := strings.Index(s, "HTTP/")
		if i < 0 {
			return false
		}
		s = s[i:]
		if startsStatusLine(s) {
			return true
		}
		s = s[1:]
	}
}

// startsStatusLine reports whether a text begins with "HTTP/N.N NNN".
func startsStatusLine(s string) bool {
	const pattern = "HTTP/0.0 000"
	if len(s) < len(pattern) {
		return false
	}
	for i := range len(pattern) {
		if pattern[i] == '0' && (s[i] < '0' || s[i] > '9') || pattern[i] != '0' && s[i] != pattern[i] {
			return false
		}
	}
	return true
}
