// Package wire encodes the messages between instances as CBOR frames.
//
// A frame is one version byte, one type byte and a CBOR map. Unknown fields are ignored
// and missing ones are zero, so that two releases can run side by side.
package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Version is the frame version that this release writes. It reads MinVersion and later.
const (
	Version    = 1
	MinVersion = 1
)

// MaxFrame bounds an encoded frame, in bytes. Larger configurations are sent in parts.
const MaxFrame = 64 << 10

// ErrFrame is the cause of every decoding error.
var ErrFrame = errors.New("malformed frame")

// frame is the CBOR map of an envelope. Body holds the message, encoded separately.
type frame struct {
	From        state.InstanceName `cbor:"f"`
	Incarnation state.Incarnation  `cbor:"i"`
	To          state.InstanceName `cbor:"t"`
	Body        cbor.RawMessage    `cbor:"b"`
}

// bodyTypes lists the message types; the index is the type byte of the frame, so entries are only ever appended.
var bodyTypes = []reflect.Type{
	reflect.TypeFor[message.GrantRequest](),
	reflect.TypeFor[message.GrantReply](),
	reflect.TypeFor[message.GrantRelease](),
	reflect.TypeFor[message.HeldGrants](),
	reflect.TypeFor[message.HeldGrantsReply](),
	reflect.TypeFor[message.VoteRequest](),
	reflect.TypeFor[message.VoteReply](),
	reflect.TypeFor[message.Heartbeat](),
	reflect.TypeFor[message.HeartbeatReply](),
	reflect.TypeFor[message.RegionStatus](),
	reflect.TypeFor[message.ClaimRequest](),
	reflect.TypeFor[message.ClaimReply](),
	reflect.TypeFor[message.OutcomeReport](),
	reflect.TypeFor[message.ConfigOffer](),
	reflect.TypeFor[message.ConfigPull](),
	reflect.TypeFor[message.ConfigPush](),
	reflect.TypeFor[message.OutcomeAck](),
	reflect.TypeFor[message.Resign](),
	reflect.TypeFor[message.GrantHandover](),
	reflect.TypeFor[message.ReportRequest](),
	reflect.TypeFor[message.ReportPage](),
}

var typeBytes = func() map[reflect.Type]byte {
	m := make(map[reflect.Type]byte, len(bodyTypes))
	for i, t := range bodyTypes {
		m[t] = byte(i)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 1024, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the frame of an envelope. It fails on an unknown body type and on a frame that would exceed MaxFrame.
func Encode(e *message.Envelope) ([]byte, error) {
	typeByte, ok := typeBytes[reflect.TypeOf(e.Body).Elem()]
	if !ok {
		return nil, errors.Errorf("encode frame to %s: unknown message type %T", e.To, e.Body)
	}
	body, err := cbor.Marshal(e.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode frame to %s", e.To)
	}
	data, err := cbor.Marshal(frame{From: e.From, Incarnation: e.Incarnation, To: e.To, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "encode frame to %s", e.To)
	}
	if len(data)+2 > MaxFrame {
		return nil, errors.Errorf("encode frame to %s: %T has %d bytes, limit is %d", e.To, e.Body, len(data)+2, MaxFrame)
	}
	return append([]byte{Version, typeByte}, data...), nil
}

// Decode parses a frame. Its errors have ErrFrame as cause.
func Decode(data []byte) (*message.Envelope, error) {
	if len(data) < 3 || len(data) > MaxFrame {
		return nil, errors.Wrapf(ErrFrame, "frame of %d bytes", len(data))
	}
	if data[0] < MinVersion {
		return nil, errors.Wrapf(ErrFrame, "frame version %d is older than %d", data[0], MinVersion)
	}
	if int(data[1]) >= len(bodyTypes) {
		return nil, errors.Wrapf(ErrFrame, "unknown message type %d", data[1])
	}
	var f frame
	if err := decMode.Unmarshal(data[2:], &f); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	v := reflect.New(bodyTypes[data[1]])
	if err := decMode.Unmarshal(f.Body, v.Interface()); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	body, ok := v.Interface().(message.Body)
	if !ok {
		return nil, errors.Wrapf(ErrFrame, "type %d is not a message", data[1])
	}
	return &message.Envelope{From: f.From, Incarnation: f.Incarnation, To: f.To, Body: body}, nil
}
