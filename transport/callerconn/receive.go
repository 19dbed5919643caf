package callerconn

import (
	"context"
	"net"

	"azurebridge/transport/connlimit"
	"azurebridge/transport/membudget"
)

// Bytes that a connection has received count as memory of the process before it reads them. The system would let them grow to
// several MiB for each connection. Of the two buffers that it allows, one is reserved: unread bytes are no garbage, which the other
// half of the soft memory limit is for.
const (
	// receiveBuffer is the receive buffer of a connection, in bytes. The system doubles it, and lets up to 1.5 times as many bytes
	// wait unread. With half of it, segments on the loopback address may not fit.
	receiveBuffer = 16 << 10
	// longReceiveBuffer is the receive buffer for bodies that are not small, in bytes: over 5 ms, a round trip within a region, 64 MiB
	// take a second.
	longReceiveBuffer = 256 << 10
)

// Listen opens a listener whose connections have a small receive buffer from their first byte.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return connlimit.Listen(ctx, address, receiveBuffer)
}

// growReceiveBuffer gives the connection a larger receive buffer for a long body while there is memory for it. It keeps it from then
// on: a smaller buffer might not take the next segment.
func (c *conn) growReceiveBuffer(announced int64) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.received != nil || membudget.IsSmall(announced) {
		return
	}
	hold := c.account.Hold(membudget.Large)
	if !hold.ReserveFree(longReceiveBuffer) {
		return
	}
	c.received = hold
	_ = tcp.SetReadBuffer(longReceiveBuffer) // fails only for a closed connection
}
