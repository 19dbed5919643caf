package wire

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
)

func sampleRecord() *claims.Record {
	return &claims.Record{Nonce: claims.Nonce{1, 2}, Entries: []claims.Entry{
		{Kind: claims.EntryClaim, Key: message.ClaimKey{3}, Attempt: message.AttemptID{4}, Fingerprint: 5},
		{Kind: claims.EntryOutcome, Key: message.ClaimKey{6}, Attempt: message.AttemptID{7}, Outcome: message.Outcome{
			Kind: message.OutcomeRan, StatusCode: 201, Body: []byte("{}"), BodyType: "application/json",
		}},
	}}
}

// Guards against a claim record that changes in encoding, and against accepting a truncated record or an unknown version.
func TestClaimRecord(t *testing.T) {
	g := NewWithT(t)
	data, err := EncodeClaimRecord(sampleRecord())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DecodeClaimRecord(data)).To(Equal(sampleRecord()))
	_, err = DecodeClaimRecord(data[:len(data)-1])
	g.Expect(err).To(MatchError(ErrFrame))
	data[0] = ClaimRecordVersion + 1
	_, err = DecodeClaimRecord(data)
	g.Expect(err).To(MatchError(ErrFrame))
}

// Guards against a full batch of a claim writer that exceeds MaxClaimRecord and so cannot be stored.
func TestLargestClaimRecord(t *testing.T) {
	g := NewWithT(t)
	r := &claims.Record{}
	for size := 0; size < claims.MaxBatchBytes; size += message.MaxOutcomeBody {
		r.Entries = append(r.Entries, claims.Entry{Kind: claims.EntryOutcome, Outcome: message.Outcome{
			Kind: message.OutcomeRan, Body: bytes.Repeat([]byte{255}, message.MaxOutcomeBody),
		}})
	}
	_, err := EncodeClaimRecord(r)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a panic on a malformed record, and a decoded record that cannot be encoded again.
func FuzzDecodeClaimRecord(f *testing.F) {
	data, err := EncodeClaimRecord(sampleRecord())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{ClaimRecordVersion, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeClaimRecord(data)
		if err != nil {
			return
		}
		reencoded, err := EncodeClaimRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeClaimRecord(reencoded); err != nil && len(reencoded) <= MaxClaimRecord {
			t.Fatal(err)
		}
	})
}
