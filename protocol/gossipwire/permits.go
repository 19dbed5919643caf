package gossipwire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// permitFrame is the encoded form of a message about permits, a CBOR array in field order. The number of its fields, in its first
// byte, distinguishes it from a frame.
type permitFrame struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Region   string
	Kind     uint8
	Apart    bool
	ID       uint64
	Customer string // of an ask
	Count    uint16
	NotOwner bool   // of a grant
	RetryMS  uint32 // of a grant
}

// permitFrameHead is the first byte of an encoded permitFrame, an array of 9 fields.
const permitFrameHead = 0x89

// Kinds of a permitFrame.
const (
	kindAlive = iota
	kindAsk
	kindGranted
)

func newPermitFrame(m *gossip.Message) permitFrame {
	f := permitFrame{From: string(m.From), Region: string(m.Region), Apart: m.Permits.Apart}
	switch {
	case m.Permits.Ask != nil:
		a := m.Permits.Ask
		f.Kind, f.ID, f.Customer, f.Count = kindAsk, a.ID, string(a.Customer), uint16(min(a.Count, quota.MaxBatch))
	case m.Permits.Granted != nil:
		g := m.Permits.Granted
		f.Kind, f.ID, f.Count, f.NotOwner = kindGranted, g.ID, uint16(min(g.Count, quota.MaxBatch)), g.NotOwner
		f.RetryMS = uint32(min(g.RetryAfter, quota.MaxRefusal).Milliseconds())
	}
	return f
}

func decodePermits(data []byte) (*gossip.Message, error) {
	var f permitFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m := &gossip.Message{From: state.InstanceName(f.From), Region: state.RegionName(f.Region), Permits: &gossip.PermitMessage{Apart: f.Apart}}
	count := min(int(f.Count), quota.MaxBatch)
	switch f.Kind {
	case kindAlive:
	case kindAsk:
		m.Permits.Ask = &quota.Ask{ID: f.ID, From: m.From, Customer: state.CustomerName(f.Customer), Count: count}
	case kindGranted:
		retry := min(time.Duration(f.RetryMS)*time.Millisecond, quota.MaxRefusal)
		m.Permits.Granted = &quota.Granted{ID: f.ID, Count: count, NotOwner: f.NotOwner, RetryAfter: retry}
	default:
		return nil, errors.Errorf("decode message: kind %d", f.Kind)
	}
	return m, nil
}
