// Package answerhead checks that the head of an HTTP/1.1 answer is well formed by itself. Bytes that belong to no request may stand
// before the head of the true answer, so that a lenient parser reads both as one head.
package answerhead

import (
	"bytes"
	"net/http"
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
	ErrFraming    = errors.New("a transfer encoding in an HTTP/1.0 answer")
)

var lineEnd = []byte("\r\n")

// Check returns an error unless head is one status line and header lines, each ended by CRLF, and an empty line. A status line
// within another line means that the beginning of another answer stands before it. The head of an HTTP/1.0 answer has no transfer
// encoding.
func Check(head []byte) error {
	var c Checker
	used, err := c.Add(head)
	switch {
	case err != nil:
		return err
	case !c.Ended():
		return c.lines.malformed()
	case used < len(head):
		return ErrHeader
	}
	return nil
}

// Checker checks a head that arrives in parts, like Check. The zero value is ready for use.
type Checker struct {
	lines lines
	part  []byte // of a line whose end has not arrived
}

// Add checks the next bytes. It returns how many of them belong to the head, which has ended when Ended reports so. With an error it
// returns how many stand before the end of the malformed line.
func (c *Checker) Add(b []byte) (int, error) {
	used := 0
	for !c.lines.ended {
		end := bytes.IndexByte(b[used:], '\n')
		if end < 0 {
			c.part = append(c.part, b[used:]...)
			return len(b), nil
		}
		line := b[used : used+end+1]
		if len(c.part) > 0 {
			c.part = append(c.part, line...)
			line = c.part
		}
		line, ok := bytes.CutSuffix(line, lineEnd)
		if !ok {
			return used + end, c.lines.malformed()
		}
		if err := c.lines.check(line); err != nil {
			return used + end, err
		}
		c.part = c.part[:0]
		used += end + 1
	}
	return used, nil
}

// Ended reports whether the head has ended.
func (c *Checker) Ended() bool { return c.lines.ended }

// Informational reports whether the head is that of an informational answer, which another one follows. It is valid once the head has
// ended.
func (c *Checker) Informational() bool {
	return c.lines.status < http.StatusOK && c.lines.status != http.StatusSwitchingProtocols
}

// lines checks the lines of a head one after another.
type lines struct {
	status int  // 0 before the status line
	http10 bool // the answer is of HTTP/1.0
	ended  bool // by an empty line
}

// check checks the next line, which is given without its end.
func (s *lines) check(line []byte) error {
	switch {
	case s.status == 0:
		return s.checkStatusLine(line)
	case len(line) == 0:
		s.ended = true
		return nil
	}
	return s.checkField(line)
}

func (s *lines) checkStatusLine(line []byte) error {
	status, ok := parseStatusLine(line)
	if !ok {
		return ErrStatusLine
	}
	if hasStatusLine(string(line[1:])) {
		return ErrTwoHeads
	}
	s.status, s.http10 = status, bytes.HasPrefix(line, []byte("HTTP/1.0"))
	return nil
}

// malformed returns the error for a line that does not end with CRLF.
func (s *lines) malformed() error {
	if s.status == 0 {
		return ErrStatusLine
	}
	return ErrHeader
}

// validStatus reports whether HTTP defines the class of a status (RFC 9110, section 15).
func validStatus(status int) bool { return status >= 100 && status <= 599 }

// parseStatusLine returns the status of a line "HTTP/1.x NNN", with or without a reason. It returns false for any other line, and for a
// status that HTTP does not define.
func parseStatusLine(line []byte) (status int, ok bool) {
	if !startsStatusLine(string(line)) || line[5] != '1' {
		return 0, false
	}
	status, err := strconv.Atoi(string(line[len("HTTP/1.1 "):len("HTTP/1.1 200")]))
	if err != nil || !validStatus(status) {
		return 0, false
	}
	reason := line[len("HTTP/1.1 200"):]
	return status, len(reason) == 0 || reason[0] == ' ' && httpguts.ValidHeaderFieldValue(string(reason))
}

// checkField checks a header line. The framing of an HTTP/1.0 answer with a transfer encoding is faulty (RFC 9112, section 6.1): net/http
// ignores the encoding and would take chunks with their sizes for the body.
func (s *lines) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)):
		return ErrHeader
	case s.http10 && strings.EqualFold(string(name), "Transfer-Encoding"):
		return ErrFraming
	case hasStatusLine(string(value)):
		return ErrTwoHeads
	}
	return nil
}

// hasStatusLine reports whether a text contains the beginning of a status line, "HTTP/N.N NNN".
func hasStatusLine(s string) bool {
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
