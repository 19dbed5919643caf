// Package gossipwire encodes messages between instances as signed datagrams: CBOR, followed by a truncated HMAC-SHA256.
package gossipwire

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/state"
)

// Sizes of a datagram, in bytes.
const (
	MaxSize = 512
	macSize = 16
)

// frame is the encoded form of a message, a CBOR array in field order.
type frame struct {
	_      struct{} `cbor:",toarray"`
	From   string
	Region string
	Number uint64
	Era    uint64
	Ended  []endedFrame
}

// endedFrame is the encoded form of an ended limit, a CBOR array in field order.
type endedFrame struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
}

// Encode returns the signed datagram of a message. It fails when the datagram would exceed MaxSize or the key is empty.
func Encode(key []byte, m *gossip.Message) ([]byte, error) {
	if len(key) == 0 {
		return nil, errors.New("encode message: no fleet key")
	}
	data, err := marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data)+macSize > MaxSize {
		return nil, errors.Errorf("encode message: %d bytes, limit is %d", len(data)+macSize, MaxSize)
	}
	return Sign(key, data), nil
}

func marshal(m *gossip.Message) ([]byte, error) {
	if m.Permits != nil {
		return cbor.Marshal(newPermitFrame(m))
	}
	if len(m.Evidence) > 0 {
		return encodeEvidence(m)
	}
	f := frame{From: string(m.From), Region: string(m.Region), Number: m.Revision.Number, Era: m.Revision.Era}
	for _, e := range m.EndedLimits {
		f.Ended = append(f.Ended, endedFrame{Server: string(e.Server), Born: e.Born})
	}
	return cbor.Marshal(f)
}

// Sign appends the signature, a truncated HMAC-SHA256 with the fleet key, to data.
func Sign(key, data []byte) []byte { return append(data, computeMAC(key, data)...) }

// Verify checks the signature and returns the data in front of it. With an empty key the signature is not checked.
func Verify(key, signed []byte) ([]byte, error) {
	if len(signed) <= macSize {
		return nil, errors.New("too short to hold data and a signature")
	}
	data, mac := signed[:len(signed)-macSize], signed[len(signed)-macSize:]
	if len(key) > 0 && !hmac.Equal(mac, computeMAC(key, data)) {
		return nil, errors.New("signature does not match")
	}
	return data, nil
}

// Decode checks the signature of a datagram and returns its message. It fails when the key is empty.
func Decode(key, datagram []byte) (*gossip.Message, error) {
	if len(key) == 0 {
		return nil, errors.New("decode message: no fleet key")
	}
	data, err := Verify(key, datagram)
	if err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	if data[0] == permitFrameHead {
		return decodePermits(data)
	}
	if data[0] == evidenceHead {
		return decodeEvidence(data)
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m := &gossip.Message{
		From: state.InstanceName(f.From), Region: state.RegionName(f.Region), Revision: catalog.Revision{Era: f.Era, Number: f.Number},
	}
	for _, e := range f.Ended {
		m.EndedLimits = append(m.EndedLimits, catalog.LimitEnded{Server: state.BackendName(e.Server), Born: e.Born})
	}
	return m, nil
}

func computeMAC(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}
