// Package fleet sends messages between entry instances over QUIC with mutual TLS.
//
// Each instance keeps one connection and one unidirectional stream to each peer that it sends to. A frame is preceded
// by its length in four bytes, big-endian. Messages may be lost when a connection fails; the protocol tolerates that.
package fleet

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/protocol/wire"
	"azurebridge/state"
	"azurebridge/transport/identity"
)

// Protocol is the ALPN name of the fleet protocol.
const Protocol = "azurebridge-fleet/1"

// Bounds of the fleet connections.
const (
	MaxQueuedPerPeer = 1024                   // messages waiting for one peer
	KeepAlive        = 300 * time.Millisecond // between QUIC keep-alive packets
	IdleTimeout      = time.Second            // after which a connection on which nothing is received is closed
	HandshakeTimeout = time.Second
	RedialDelay      = 200 * time.Millisecond // after a failed connection attempt
	PeerIdleTimeout  = 5 * time.Second        // after which an unused connection is closed: its keep-alives cost more than a new one
	connBuffer       = 4 << 10                // bytes of each connection's buffer; larger frames bypass it
	lengthPrefix     = 4                      // bytes
)

// Stats counts what the fleet transport did.
type Stats struct {
	Sent       atomic.Uint64
	Received   atomic.Uint64
	Dropped    atomic.Uint64 // messages dropped because the peer's queue was full or its connection failed
	Malformed  atomic.Uint64 // frames that could not be decoded, and messages that could not be encoded
	DialFailed atomic.Uint64
}

// Options sets up a Manager.
type Options struct {
	Identity *identity.Identity
	Listen   string                                  // address to listen on, host:port
	Resolve  func(state.InstanceName) (string, bool) // address of a peer
	Delay    func(state.InstanceName) time.Duration  // extra delay of messages to a peer, for trials; nil for none
	Log      hclog.Logger
}

// Manager sends and receives messages.
type Manager struct {
	opts     Options
	socket   *quic.Transport // for both directions, so that peers see the address that this instance listens on
	listener *quic.Listener
	deliver  func(control.Event) error
	Stats    Stats

	mu    sync.Mutex
	peers map[state.InstanceName]*peer
}

// New returns a manager that listens for connections of other instances.
func New(opts Options) (*Manager, error) {
	addr, err := net.ResolveUDPAddr("udp", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for instances on %s", opts.Listen)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for instances on %s", opts.Listen)
	}
	socket := &quic.Transport{Conn: conn}
	ln, err := socket.Listen(opts.Identity.Server(identity.RoleInstance, Protocol), quicConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "listen for instances on %s", opts.Listen)
	}
	return &Manager{opts: opts, socket: socket, listener: ln, peers: make(map[state.InstanceName]*peer)}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod: KeepAlive, MaxIdleTimeout: IdleTimeout, HandshakeIdleTimeout: HandshakeTimeout,
		MaxIncomingUniStreams: 4, MaxIncomingStreams: -1,
		InitialStreamReceiveWindow: wire.MaxFrame * 2, MaxStreamReceiveWindow: 1 << 20,
		InitialConnectionReceiveWindow: wire.MaxFrame * 2, MaxConnectionReceiveWindow: 1 << 20,
	}
}

// Run accepts connections and passes each message to deliver until ctx ends.
func (m *Manager) Run(ctx context.Context, deliver func(control.Event) error) {
	m.deliver = deliver
	context.AfterFunc(ctx, func() {
		_ = m.listener.Close()
		_ = m.socket.Close()
		_ = m.socket.Conn.Close()
	})
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return
			}
			m.opts.Log.Warn("accept instance connection failed", "error", err)
			continue
		}
		go m.serve(ctx, conn)
	}
}

func (m *Manager) serve(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		go m.read(conn, s)
	}
}

// read delivers the messages of one stream. A malformed frame ends the connection, because the bounds of the frames after it
// cannot be trusted.
func (m *Manager) read(conn *quic.Conn, s *quic.ReceiveStream) {
	r := bufio.NewReaderSize(s, connBuffer)
	var size [lengthPrefix]byte
	buf := make([]byte, 0, connBuffer)
	for {
		if _, err := io.ReadFull(r, size[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(size[:])
		if n > wire.MaxFrame {
			m.closeMalformed(conn, errors.Wrapf(wire.ErrFrame, "frame of %d bytes", n))
			return
		}
		frame := buf
		if cap(buf) < int(n) {
			frame = make([]byte, n) // rare; not reused, so that an idle connection holds little memory
		}
		frame = frame[:n]
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		e, err := wire.Decode(frame)
		if err != nil {
			m.closeMalformed(conn, err)
			return
		}
		m.Stats.Received.Add(1)
		if m.deliver(control.Received{Envelope: e}) != nil {
			m.Stats.Dropped.Add(1)
		}
	}
}

// closeMalformed counts and logs a malformed frame, and closes the connection that it came from.
func (m *Manager) closeMalformed(conn *quic.Conn, err error) {
	m.Stats.Malformed.Add(1)
	m.opts.Log.Warn("malformed frame from an instance; closing its connection", "peer", conn.RemoteAddr().String(), "error", err)
	_ = conn.CloseWithError(1, "malformed frame")
}

// Send queues a message for its receiver. It never blocks; a message for a full queue is dropped and counted.
func (m *Manager) Send(e *message.Envelope) {
	q := queuedMessage{envelope: e}
	if m.opts.Delay != nil {
		q.due = time.Now().Add(m.opts.Delay(e.To))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[e.To]
	if p == nil {
		p = &peer{name: e.To, queue: make(chan queuedMessage, MaxQueuedPerPeer)}
		m.peers[e.To] = p
		go p.run(m)
	}
	select {
	case p.queue <- q:
	default:
		m.Stats.Dropped.Add(1)
	}
}
