package peers

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/factwire"
)

// proofPath is the path of requests for an instance's last proof that it knew all changes of the store.
const proofPath = "/proof"

// maxProofBytes bounds the answer: a revision and an age with their signature.
const maxProofBytes = 4 << 10

// proofHandler answers with the revision and the age of this instance's view, or without content when the view is not verified.
func proofHandler(loop *catalog.Loop) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		v := loop.View()
		if v.VerifiedAt == 0 || len(v.FleetKey) == 0 {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		data, err := factwire.Encode(v.FleetKey, &factwire.Facts{Revision: v.Revision, Age: v.Age(loop.Now())})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // the instance may have disconnected
	}
}

// FetchProof returns the revision that one other instance, chosen at random, knows, and how long ago at most the store had no
// later one. It returns false when that instance has no proof, or when no other instance is known.
func (c *FactsClient) FetchProof(ctx context.Context) (catalog.Revision, time.Duration, bool, error) {
	address := c.randomPeer()
	if address == "" {
		return catalog.Revision{}, 0, false, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+proofPath, nil)
	if err != nil {
		return catalog.Revision{}, 0, false, errors.Wrapf(err, "ask %s for a proof", address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return catalog.Revision{}, 0, false, errors.Wrapf(err, "ask %s for a proof", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return catalog.Revision{}, 0, false, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProofBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return catalog.Revision{}, 0, false, errors.Errorf("ask %s for a proof: status %d, error %v", address, resp.StatusCode, err)
	}
	key := c.loop.View().FleetKey
	if len(key) == 0 {
		return catalog.Revision{}, 0, false, nil // the signature cannot be checked
	}
	facts, err := factwire.Decode(key, data)
	if err != nil {
		return catalog.Revision{}, 0, false, errors.Wrapf(err, "ask %s for a proof", address)
	}
	return facts.Revision, facts.Age, true, nil
}
