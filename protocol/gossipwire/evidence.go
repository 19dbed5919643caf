package gossipwire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quarantine"
	"azurebridge/state"
)

// evidenceMessage is the encoded form of a message with evidence against requests, a CBOR array in field order. Its number of
// fields differs from that of frame, so that versions that do not know it reject it.
type evidenceMessage struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Region   string
	Evidence []evidenceFrame
}

// evidenceHead is the first byte of an encoded evidenceMessage: a CBOR array of three elements.
const evidenceHead = 0x83

// evidenceFrame is the encoded form of a quarantine.Record, a CBOR array in field order. Instants are in nanoseconds from the time
// of sending.
type evidenceFrame struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Route       string
	Ends        []endFrame
	Cleared     int64
	Level       int
	Since       int64
	Until       int64
	Probed      int64
}

// endFrame is the encoded form of a quarantine.End, a CBOR array in field order.
type endFrame struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
	Domain string
	At     int64
}

// ageUnit is the precision of instants in messages.
const ageUnit = time.Millisecond

func encodeAge(at state.Instant) int64 {
	if at == 0 {
		return 0
	}
	if n := int64(at) / int64(ageUnit); n != 0 {
		return n
	}
	return -1 // 0 means none
}

func encodeEvidence(m *gossip.Message) ([]byte, error) {
	f := evidenceMessage{From: string(m.From), Region: string(m.Region)}
	for _, r := range m.Evidence {
		e := evidenceFrame{
			Fingerprint: uint64(r.Fingerprint), Route: r.Route, Cleared: encodeAge(r.ClearedAt), Level: r.Level,
			Since: encodeAge(r.Since), Until: encodeAge(r.Until), Probed: encodeAge(r.ProbedUntil),
		}
		for _, end := range r.Ends {
			e.Ends = append(e.Ends, endFrame{Server: string(end.Process.Server), Born: end.Process.Born, Domain: string(end.Domain), At: encodeAge(end.At)})
		}
		f.Evidence = append(f.Evidence, e)
	}
	return cbor.Marshal(f)
}

// maxAgeUnits bounds instants in messages, so that they cannot overflow.
const maxAgeUnits = int64(24 * time.Hour / ageUnit)

func decodeEvidence(data []byte) (*gossip.Message, error) {
	var f evidenceMessage
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m := &gossip.Message{From: state.InstanceName(f.From), Region: state.RegionName(f.Region)}
	bad := false
	decodeAge := func(n int64) state.Instant {
		bad = bad || n > maxAgeUnits || n < -maxAgeUnits
		return state.Instant(n * int64(ageUnit))
	}
	for _, e := range f.Evidence {
		r := quarantine.Record{
			Fingerprint: quarantine.Fingerprint(e.Fingerprint), Route: e.Route, ClearedAt: decodeAge(e.Cleared), Level: e.Level,
			Since: decodeAge(e.Since), Until: decodeAge(e.Until), ProbedUntil: decodeAge(e.Probed),
		}
		for _, end := range e.Ends {
			r.Ends = append(r.Ends, quarantine.End{
				Process: quarantine.Process{Server: state.BackendName(end.Server), Born: end.Born}, Domain: state.DomainName(end.Domain), At: decodeAge(end.At),
			})
		}
		m.Evidence = append(m.Evidence, r)
	}
	if bad {
		return nil, errors.New("decode message: an instant is out of range")
	}
	return m, nil
}
