package backend

import (
	"sync"

	"azurebridge/protocol/answerhead"
)

// headConn is a connection that fails when the head of an answer is not well formed by itself. net/http accepts blanks in names, folded
// lines and lines that end without CR, and reads some fields of such heads in another way than others do.
type headConn struct {
	*Conn
	mu     sync.Mutex
	head   answerhead.Checker // of the answer that is being read, or of the next one
	inHead bool
	err    error // of a malformed head
}

// checkHeads returns a connection like c that checks the heads of answers. expectHead is called before each request on it.
func checkHeads(c *Conn) *headConn { return &headConn{Conn: c, inHead: true} }

// expectHead announces a request, whose answer begins with the next bytes. The answer to the one before has been read.
func (c *headConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = true
}

// headError returns the error of a malformed head, or nil when there was none.
func (c *headConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Read reads from the connection. It does not return the end of a malformed line: what stands before it makes no head.
func (c *headConn) Read(b []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := c.check(b[:n])
	if checked == 0 && c.err != nil {
		return 0, c.err
	}
	return checked, err
}

// check checks the bytes that belong to heads, and returns how many bytes may be used. c.mu is held on entry.
func (c *headConn) check(b []byte) int {
	used := 0
	for c.inHead && used < len(b) {
		n, err := c.head.Add(b[used:])
		used += n
		if err != nil {
			c.err = err
			return used
		}
		if c.head.Ended() {
			c.inHead = c.head.Informational()
			c.head = answerhead.Checker{}
		}
	}
	return len(b)
}
