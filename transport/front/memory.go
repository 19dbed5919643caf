package front

import (
	"errors"
	"net"
	"time"

	"azurebridge/transport/backend"
	"azurebridge/transport/membudget"
)

const (
	// requestCost is what a request needs besides its body and answer, in bytes: the stack of its goroutine, its headers, and the
	// buffer of the connection to the server.
	requestCost = 24 << 10
	// serverCost is what the unread bytes of the connection to the server need, in bytes.
	serverCost = backend.ServerReceiveBuffer
	// copyCost is the size of the buffer with which a body is copied that is not buffered as a whole, in bytes.
	copyCost = 32 << 10
	// memoryRetryAfter is the Retry-After of a request that is refused for lack of memory.
	memoryRetryAfter = time.Second
)

// accounted is the response writer of a connection with an account in the process's memory budget.
type accounted interface {
	Memory() *membudget.Account
}

// openHold reserves the memory that the request needs besides its body. It refuses the request and returns false when the memory
// is used up.
func (q *request) openHold() bool {
	w, ok := q.w.(accounted)
	if !ok {
		return true
	}
	q.hold = w.Memory().Hold(q.use())
	if !q.hold.Reserve(requestCost) {
		q.refuseForMemory()
		return false
	}
	return true
}

// use returns what the memory of the request is for.
func (q *request) use() membudget.Use {
	switch {
	case !membudget.IsSmall(q.r.ContentLength):
		return membudget.Large
	case q.r.ContentLength > 0:
		return membudget.Arriving
	}
	return membudget.Small
}

// reserveForServer reserves the memory that sending the request to a server needs, once its body has arrived or is streamed. It
// refuses the request and returns false when the memory is used up.
func (q *request) reserveForServer() bool {
	q.hold.Arrived()
	cost := int64(serverCost)
	if q.r.ContentLength != 0 {
		cost += copyCost // a long body is written with a copy buffer also when it is buffered
	}
	if q.hold.Reserve(cost) {
		return true
	}
	q.refuseForMemory()
	return false
}

// refuseForMemory refuses a request, which has not run, and ends its connection: the rest of its body is not read.
func (q *request) refuseForMemory() {
	q.m.Stats.NoMemory.Add(1)
	q.body = nil
	q.hold.Free()
	q.w.Header().Set("Connection", "close")
	q.refuse("memory is used up", memoryRetryAfter)
}

// freeMemory releases the memory of the request, once its body has been sent to a server that has answered early.
func (q *request) freeMemory() {
	if q.unsent == nil {
		q.hold.Free()
		return
	}
	go func() {
		<-q.unsent
		q.hold.Free()
	}()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
