package main

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	aheadCallers = 5 // every fifth caller sends requests ahead
	aheadGroup   = 4 // requests that it sends before it reads an answer
)

// aheadConn is the connection of a caller that sends requests ahead. It is opened again after a failure.
type aheadConn struct {
	net.Conn
	reader *bufio.Reader
	target *instance
}

// open makes sure that the connection is one to the target.
func (a *aheadConn) open(target *instance) error {
	if a.Conn != nil && a.target == target {
		return nil
	}
	a.close()
	conn, err := net.DialTimeout("tcp", target.callers, callTimeout)
	if err != nil {
		return err
	}
	a.Conn, a.reader, a.target = conn, bufio.NewReader(conn), target
	return nil
}

func (a *aheadConn) close() {
	if a.Conn != nil {
		a.Conn.Close()
		a.Conn = nil
	}
}

// sendAhead sends a group of requests that may run more than once, then reads their answers and records the outcomes. It returns
// the last call. After a failure or the last answer of the connection, the remaining calls count as not answered.
func (c *callers) sendAhead(a *aheadConn, target *instance, r *rand.Rand) *call {
	err := a.open(target)
	var calls []*call
	for range aheadGroup {
		out, req := c.newCall(target, r, false)
		calls = append(calls, out)
		if err == nil {
			_ = a.SetDeadline(time.Now().Add(callTimeout)) // fails only for a closed connection
			err = req.Write(a.Conn)
		}
	}
	for _, out := range calls {
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(a.reader, nil)
		}
		c.record(out, resp, err)
		if err == nil && (out.Err != nil || resp.Close) {
			err = net.ErrClosed
		}
	}
	if err != nil {
		a.close()
	}
	return calls[len(calls)-1]
}
