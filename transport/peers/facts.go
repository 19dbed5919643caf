package peers

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/factwire"
	"azurebridge/transport/backend"
)

// Path and timeout of requests for facts, the items of the store that an instance knows.
const (
	factsPath = "/facts"
	// factsTimeout bounds the request to one instance.
	factsTimeout = 700 * time.Millisecond
)

// Handler serves other instances: on factsPath all that this one knows of the store, on relayPath the stream of the relay.
func Handler(loop *catalog.Loop, relay *Relay) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayPath, relay)
	mux.HandleFunc("GET "+factsPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		if uint64(loop.View().Revision) <= after {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		known, err := loop.Collect(r.Context())
		if err != nil {
			return // the requesting instance has left
		}
		data, err := factwire.Encode(loop.View().FleetKey, &factwire.Facts{Revision: known.Revision, Items: known.Items})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // the instance may have disconnected
	})
	return mux
}

// FactsClient requests from other instances what they know of the store.
type FactsClient struct {
	loop   *catalog.Loop
	self   string   // address at which this instance answers
	seeds  []string // addresses of some instances, used while the store's list is not known
	client http.Client
}

// NewFactsClient returns a client. Instances that the store lists are asked, and the seeds while it lists none.
func NewFactsClient(loop *catalog.Loop, self string, seeds []string) *FactsClient {
	transport := &http.Transport{DialContext: backend.Dial, DisableCompression: true, DisableKeepAlives: true}
	return &FactsClient{loop: loop, self: self, seeds: seeds, client: http.Client{Transport: transport, Timeout: factsTimeout}}
}

// Fetch returns all that one other instance, chosen at random, knows of the store. It returns nil when that instance knows
// nothing newer than the revision, or when no other instance is known.
func (c *FactsClient) Fetch(ctx context.Context, after catalog.Revision) (*factwire.Facts, error) {
	address := c.randomPeer()
	if address == "" {
		return nil, nil
	}
	url := "http://" + address + factsPath + "?after=" + strconv.FormatUint(uint64(after), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for facts", address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for facts", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, factwire.MaxSize))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask %s for facts: status %d, error %v", address, resp.StatusCode, err)
	}
	facts, err := factwire.Decode(c.loop.View().FleetKey, data)
	return facts, errors.Wrapf(err, "ask %s for facts", address)
}

// randomPeer returns the address of another instance, chosen at random, or an empty one when none is known.
func (c *FactsClient) randomPeer() string {
	var list []string
	for _, p := range c.loop.View().Peers {
		if p.PeerAddress != c.self && p.PeerAddress != "" {
			list = append(list, p.PeerAddress)
		}
	}
	if len(list) == 0 {
		list = c.seeds
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}
