package connlimit

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener whose connections have a receive buffer of the given size, in bytes, from their first byte. The system
// doubles it, and lets up to twice as many bytes wait unread, which count as memory of the process; without it, it would let
// several MiB.
func Listen(ctx context.Context, address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return errors.Wrap(optErr, "set the receive buffer")
	}}
	return config.Listen(ctx, "tcp", address)
}
