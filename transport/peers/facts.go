package peers

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
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

// Handler serves other instances: on factsPath all that this one knows of the store, on relayPath the stream of
// the relay, on proofPath how old its knowledge may be.
func Handler(loop *catalog.Loop, relay *Relay) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayPath, relay)
	mux.HandleFunc("GET "+proofPath, proofHandler(loop))
	mux.HandleFunc("GET "+factsPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := parseRevision(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !after.Before(loop.View().Revision) {
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

// Parameters of a request for facts: the number and the era of the revision that the requesting instance knows.
const (
	afterParameter = "after"
	eraParameter   = "era" // 0 when missing
)

func formatRevision(r catalog.Revision) url.Values {
	return url.Values{afterParameter: {strconv.FormatUint(r.Number, 10)}, eraParameter: {strconv.FormatUint(r.Era, 10)}}
}

func parseRevision(query url.Values) (catalog.Revision, error) {
	number, err := strconv.ParseUint(query.Get(afterParameter), 10, 64)
	if err != nil {
		return catalog.Revision{}, errors.New("after is not the number of a revision")
	}
	era, err := strconv.ParseUint(cmp.Or(query.Get(eraParameter), "0"), 10, 64)
	if err != nil {
		return catalog.Revision{}, errors.New("era is not a number")
	}
	return catalog.Revision{Era: era, Number: number}, nil
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
	target := "http://" + address + factsPath + "?" + formatRevision(after).Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
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
