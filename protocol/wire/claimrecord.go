package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
)

// ClaimRecordVersion is the version of claim records that this release writes. Records of other versions are rejected,
// because a record that is only partly understood could hide a claim.
const ClaimRecordVersion = 1

// MaxClaimRecord bounds an encoded claim record, in bytes.
const MaxClaimRecord = 512 << 10

type claimRecord struct {
	Nonce   claims.Nonce `cbor:"n"`
	Entries []claimEntry `cbor:"e"`
}

type claimEntry struct {
	Kind        claims.EntryKind  `cbor:"k"`
	Key         message.ClaimKey  `cbor:"i"`
	Attempt     message.AttemptID `cbor:"a"`
	Fingerprint uint64            `cbor:"f"`
	Outcome     *message.Outcome  `cbor:"o,omitempty"`
}

// EncodeClaimRecord returns the stored form of a record: a version byte and a CBOR map. The sequence number and
// the lease are not encoded. It fails when the encoded record exceeds MaxClaimRecord.
func EncodeClaimRecord(r *claims.Record) ([]byte, error) {
	c := claimRecord{Nonce: r.Nonce, Entries: make([]claimEntry, len(r.Entries))}
	for i := range r.Entries {
		e := &r.Entries[i]
		c.Entries[i] = claimEntry{Kind: e.Kind, Key: e.Key, Attempt: e.Attempt, Fingerprint: e.Fingerprint}
		if e.Kind == claims.EntryOutcome {
			c.Entries[i].Outcome = &e.Outcome
		}
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrapf(err, "encode claim record %d", r.Seq)
	}
	if len(data)+1 > MaxClaimRecord {
		return nil, errors.Errorf("encode claim record %d: %d bytes, limit is %d", r.Seq, len(data)+1, MaxClaimRecord)
	}
	return append([]byte{ClaimRecordVersion}, data...), nil
}

// DecodeClaimRecord parses the stored form of a record. Its errors have ErrFrame as cause.
func DecodeClaimRecord(data []byte) (*claims.Record, error) {
	if len(data) < 2 || len(data) > MaxClaimRecord || data[0] != ClaimRecordVersion {
		return nil, errors.Wrapf(ErrFrame, "claim record of %d bytes: wrong size or version", len(data))
	}
	var c claimRecord
	if err := decMode.Unmarshal(data[1:], &c); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}
	r := &claims.Record{Nonce: c.Nonce, Entries: make([]claims.Entry, len(c.Entries))}
	for i := range c.Entries {
		e := &c.Entries[i]
		r.Entries[i] = claims.Entry{Kind: e.Kind, Key: e.Key, Attempt: e.Attempt, Fingerprint: e.Fingerprint}
		switch {
		case e.Kind == claims.EntryClaim && e.Outcome == nil:
		case e.Kind == claims.EntryOutcome && e.Outcome != nil && len(e.Outcome.Body) <= message.MaxOutcomeBody &&
			e.Outcome.Kind >= message.OutcomeRan && e.Outcome.Kind <= message.OutcomeUnknown:
			r.Entries[i].Outcome = *e.Outcome
		default:
			return nil, errors.Wrapf(ErrFrame, "claim record: entry %d has kind %d", i, e.Kind)
		}
	}
	return r, nil
}
