package metastore

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/factwire"
)

// Guards against an instance that goes on with the lost history of a store that has returned from a copy: it must list the new one,
// and take nothing from readers and instances that still know the lost one, whose revisions are higher.
func TestNewEraLeadsToAListing(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: catalog.Revision{Era: 1, Number: 90}}
	s.watch = func(ctx context.Context, after catalog.Revision) ([]catalog.Item, catalog.Revision, error) {
		if after.Era == 1 {
			s.set(func() { s.revision = catalog.Revision{Era: 2, Number: 40} })
			return nil, catalog.Revision{}, errors.Wrap(ErrNewEra, "watch")
		}
		return blockedWatch(ctx, after)
	}
	events, relays := &eventRecorder{}, newRelays(false)
	f := startFollowerWithRelays(t, s, events, relays)
	g.Eventually(f.Revision, testTimeout).Should(Equal(catalog.Revision{Era: 2, Number: 40}))
	g.Expect(f.applyRelayed(context.Background(), &factwire.Facts{After: catalog.Revision{Era: 1, Number: 90}, Revision: catalog.Revision{Era: 1, Number: 95}})).To(Succeed())
	f.ReportRevision(catalog.Revision{Era: 1, Number: 95})
	g.Expect(f.Revision()).To(Equal(catalog.Revision{Era: 2, Number: 40}))
	g.Expect(errors.Is(f.applyRelayed(context.Background(), &factwire.Facts{After: catalog.Revision{Era: 3, Number: 5}, Revision: catalog.Revision{Era: 3, Number: 6}}), errRelayGap)).To(BeTrue())
	for _, ev := range events.all() {
		g.Expect(ev).NotTo(BeAssignableToTypeOf(catalog.Changed{}))
	}
}
