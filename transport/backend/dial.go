package backend

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial opens a TCP connection that fails when the other host does not acknowledge sent data within UnackedTimeout.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return newDialer().DialContext(ctx, network, address)
}

// DialFrom returns a Dialer like Dial whose connections come from the given address of this instance. Backend servers and
// networks can then distinguish instances that share a machine.
func DialFrom(local netip.Addr) Dialer {
	d := newDialer()
	if local.IsValid() && !local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d.DialContext
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: KeepAliveInterval, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout/time.Millisecond))
				if optErr == nil {
					// Choose the local port at connect, so that it only has to be unique for each backend server.
					optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
				}
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
