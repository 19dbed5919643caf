package backend

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Receive buffers of connections, in bytes. The system doubles them; without them it would let up to several MiB for each
// connection wait unread, which count as memory of the process.
const (
	// receiveBuffer is for the few connections to the store and other instances, whose answers have up to some MiB.
	receiveBuffer = 256 << 10
	// ServerReceiveBuffer is the buffer of DialServer, in bytes.
	ServerReceiveBuffer = 16 << 10
)

// DialServer opens a connection like Dial with a receive buffer of ServerReceiveBuffer, which may be made larger.
func DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, newDialer(ServerReceiveBuffer), network, address)
}

// Dial opens a TCP connection that fails when the other host does not acknowledge sent data within UnackedTimeout, or answers no
// probes while there is no traffic. A host that reads nothing but acknowledges what it gets is healthy, however long that takes:
// whoever sends bounds that time.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, newDialer(receiveBuffer), network, address)
}

// DialFrom returns a Dialer like Dial whose connections come from the given address of this instance. Backend servers and
// networks can then distinguish instances that share a machine.
func DialFrom(local netip.Addr) Dialer {
	d := newDialer(receiveBuffer)
	if local.IsValid() && !local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dial(ctx, d, network, address)
	}
}

func dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return DetectResets(c), nil
	}
	out, err := newAckConn(tcp)
	if err != nil {
		c.Close()
		return nil, err
	}
	return DetectResets(out), nil
}

func newDialer(receive int) *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			// The connection fails 1.5 s after the last traffic, when one probe has not been answered.
			Enable: true, Idle: time.Second, Interval: KeepAliveInterval, Count: 1,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				// Choose the local port at connect, so that it only has to be unique for each backend server.
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
				if optErr == nil {
					optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
				}
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
