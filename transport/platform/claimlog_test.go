package platform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/claims"
	"azurebridge/protocol/storeapi"
	"azurebridge/transport/standin"
)

// Guards against results of store operations that mislead the claim writer: a record created twice, a page out of order, a
// hint read as a record, an ended lease reported as a conflict with a record, a malformed record reported as missing.
func TestClaimLogOperations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	store := standin.NewStore(func() time.Time { return now })
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	l := NewClaimLog(New(strings.TrimPrefix(server.URL, "http://")), nil, hclog.NewNullLogger())
	do := func(op claims.Op) *claims.OpResult { op.Shard = 11; return l.do(context.Background(), &op) }
	record := func(seq uint64) *claims.Record {
		return &claims.Record{Seq: seq, Nonce: claims.NewNonce(), Entries: []claims.Entry{}}
	}

	lease := do(claims.Op{Kind: claims.OpLease})
	g.Expect(lease.Status).To(Equal(claims.OpOK))
	first := record(9)
	create := claims.Op{Kind: claims.OpAppend, Seq: 9, Lease: lease.Lease, Record: first}
	g.Expect(do(create).Status).To(Equal(claims.OpOK))
	create.Record = record(9)
	again := do(create)
	g.Expect(again.Status).To(Equal(claims.OpConflict))
	g.Expect(again.Records).To(ConsistOf(HaveField("Nonce", first.Nonce)))
	g.Expect(do(claims.Op{Kind: claims.OpAppend, Seq: 16, Lease: lease.Lease, Record: record(16)}).Status).To(Equal(claims.OpOK))
	g.Expect(do(claims.Op{Kind: claims.OpHint, Seq: 1000}).Version).To(BeEquivalentTo(1))
	g.Expect(do(claims.Op{Kind: claims.OpHint, Seq: 2000}).Status).To(Equal(claims.OpConflict))

	page := do(claims.Op{Kind: claims.OpList})
	g.Expect([]uint64{page.Records[0].Seq, page.Records[1].Seq, page.Records[1].Lease, page.Hint, page.Version}).
		To(Equal([]uint64{9, 16, lease.Lease, 1000, 1}))
	g.Expect(do(claims.Op{Kind: claims.OpList, Seq: 9}).Records).To(HaveLen(1))

	now = now.Add(claims.LeaseTTL - time.Second)
	g.Expect(do(claims.Op{Kind: claims.OpRenew, Lease: lease.Lease}).Status).To(Equal(claims.OpOK))
	now = now.Add(claims.LeaseTTL - time.Second)
	g.Expect(do(claims.Op{Kind: claims.OpList}).Records).To(HaveLen(2))
	now = now.Add(time.Second)
	g.Expect(do(claims.Op{Kind: claims.OpRenew, Lease: lease.Lease}).Status).To(Equal(claims.OpConflict))
	ended := do(create)
	g.Expect(ended.Status).To(Equal(claims.OpConflict))
	g.Expect(ended.Records).To(BeEmpty())
	g.Expect(do(claims.Op{Kind: claims.OpList}).Hint).To(BeEquivalentTo(1000))

	store.CAS(storeapi.CASRequest{Key: recordKey(11, 9), Value: []byte("?")})
	create.Lease = 0
	g.Expect(do(create).Status).To(Equal(claims.OpUnknown))
	g.Expect(do(claims.Op{Kind: claims.OpList}).Status).To(Equal(claims.OpNotDone))
	// A new client has no pooled connection, on which the request could be sent before the client finds it closed.
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	l = NewClaimLog(New(address), nil, hclog.NewNullLogger())
	g.Expect(do(create).Status).To(Equal(claims.OpNotDone), "nothing was sent")
}
