package fleet

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"azurebridge/coordination/message"
	"azurebridge/protocol/wire"
	"azurebridge/state"
	"azurebridge/transport/identity"
)

// queuedMessage is a message that waits to be sent to its peer. due is the earliest time to send it; zero unless
// Options.Delay is set.
type queuedMessage struct {
	envelope *message.Envelope
	due      time.Time
}

// peer sends queued messages to one instance. All fields except queue are used only by its goroutine.
type peer struct {
	name    state.InstanceName
	queue   chan queuedMessage
	conn    *quic.Conn
	writer  *bufio.Writer
	address string
	retryAt time.Time
	refused bool // the last connection ended because the instance refused the certificate
}

// run sends queued messages until the peer has been unused for PeerIdleTimeout.
func (p *peer) run(m *Manager) {
	idle := time.NewTimer(PeerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case q := <-p.queue:
			idle.Reset(PeerIdleTimeout)
			if err := p.sendAll(m, q); err != nil {
				p.drop(m, err)
			}
		case <-idle.C:
			if m.removeIdle(p) {
				p.close()
				return
			}
			idle.Reset(PeerIdleTimeout)
		}
	}
}

// removeIdle removes an unused peer. It returns false when a message has been queued meanwhile.
func (m *Manager) removeIdle(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(m.peers, p.name)
	return true
}

// sendAll writes q and all further messages in the queue. It flushes once at the end, and before each wait for a delayed
// message.
func (p *peer) sendAll(m *Manager, q queuedMessage) error {
	time.Sleep(time.Until(q.due)) // in trials only; each delay counts from when the message was queued, so that delays do not add up
	if err := p.connect(m); err != nil {
		m.Stats.Dropped.Add(1)
		return err
	}
	for {
		if err := p.write(m, q.envelope); err != nil {
			return err
		}
		select {
		case q = <-p.queue:
			if wait := time.Until(q.due); wait > 0 {
				if err := p.writer.Flush(); err != nil {
					return errors.Wrapf(err, "send to instance %s", p.name)
				}
				time.Sleep(wait)
			}
			continue
		default:
		}
		return errors.Wrapf(p.writer.Flush(), "send to instance %s", p.name)
	}
}

func (p *peer) write(m *Manager, e *message.Envelope) error {
	data, err := wire.Encode(e)
	if err != nil {
		m.Stats.Malformed.Add(1)
		m.opts.Log.Error("message cannot be encoded and is not sent", "error", err)
		return nil
	}
	var size [lengthPrefix]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	if _, err := p.writer.Write(size[:]); err != nil {
		return errors.Wrapf(err, "send to instance %s", p.name)
	}
	if _, err := p.writer.Write(data); err != nil {
		return errors.Wrapf(err, "send to instance %s", p.name)
	}
	m.Stats.Sent.Add(1)
	return nil
}

// connect dials when there is no open connection, or when the peer's address has changed.
func (p *peer) connect(m *Manager) error {
	address, ok := m.opts.Resolve(p.name)
	if !ok {
		return errors.Errorf("connect to instance %s: address unknown", p.name)
	}
	if p.conn != nil && p.conn.Context().Err() == nil && address == p.address {
		return nil
	}
	if p.conn != nil {
		if err := context.Cause(p.conn.Context()); certificateRefused(err) {
			return errors.Wrapf(err, "connect to instance %s at %s", p.name, p.address)
		}
		p.refused = false
	}
	if time.Now().Before(p.retryAt) {
		return errors.Errorf("connect to instance %s: waiting after a failed attempt", p.name)
	}
	p.close()
	ctx, cancel := context.WithTimeout(context.Background(), HandshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to instance %s at %s", p.name, address)
	}
	conn, err := m.socket.Dial(ctx, udp, m.opts.Identity.Client(identity.RoleInstance, Protocol), quicConfig())
	if err != nil {
		m.Stats.DialFailed.Add(1)
		return errors.Wrapf(err, "connect to instance %s at %s", p.name, address)
	}
	s, err := conn.OpenUniStream()
	if err != nil {
		_ = conn.CloseWithError(0, "")
		return errors.Wrapf(err, "open stream to instance %s", p.name)
	}
	p.conn, p.writer, p.address = conn, bufio.NewWriterSize(s, connBuffer), address
	return nil
}

// drop closes a failed connection, and delays the next attempt to connect by RedialDelay. It logs changes of state only: a lost
// connection, and the first time that the certificate is refused.
func (p *peer) drop(m *Manager, err error) {
	switch refused := certificateRefused(err); {
	case refused && !p.refused: // each attempt is refused in the same way until a certificate is replaced
		m.opts.Log.Warn("instance refused this instance's certificate", "error", err)
		p.refused = true
	case !refused && p.conn != nil:
		p.refused = false
		m.opts.Log.Info("connection to instance lost", "error", err)
	}
	p.close()
	if now := time.Now(); now.After(p.retryAt) {
		p.retryAt = now.Add(RedialDelay)
	}
}

// certificateRefused reports whether the other instance ended the handshake with a TLS alert. With TLS 1.3 this side
// already considers the connection established by then.
func certificateRefused(err error) bool {
	var closed *quic.TransportError
	return errors.As(err, &closed) && closed.Remote && closed.ErrorCode.IsCryptoError()
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.CloseWithError(0, "")
	}
	p.conn, p.writer = nil, nil
}
