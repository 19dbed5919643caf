// Package freeport finds ports of the loopback address for processes that are started later. The ranges should lie below the
// system's ephemeral ports: an outgoing connection could otherwise take a port between its check and its use.
package freeport

import (
	"net"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Range is a range of ports that are handed out in turn. It is safe for concurrent use.
type Range struct {
	First, Count int
	tried        atomic.Uint32
}

// Next returns a loopback address whose port is free for TCP and UDP, or an error when the whole range is in use.
func (r *Range) Next() (string, error) {
	for range r.Count {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(r.First+int(r.tried.Add(1))%r.Count))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		packets, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			packets.Close()
			return address, nil
		}
	}
	return "", errors.Errorf("all %d ports from %d on are in use", r.Count, r.First)
}

// Skip makes the next n ports be handed out later, so that processes with the same range start at different ports.
func (r *Range) Skip(n int) { r.tried.Add(uint32(n)) }
