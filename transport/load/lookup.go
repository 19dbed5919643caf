package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/callers"
	"azurebridge/protocol/storeapi"
)

const (
	lookupTimeout  = time.Second
	maxLookupReply = 1 << 20 // bytes
	maxBootstrap   = 3       // listed entry instances that are tried for one look-up, after those of the previous response
	minLookupTTL   = time.Second
)

// ErrNoEntry is the error when no entry instance answered a look-up with at least one entry instance.
var ErrNoEntry = errors.New("no entry instance answered the look-up")

// caller is one client of a customer that uses a service from a region. It caches the response to its look-up for the TTL.
type caller struct{ customer, service, region, client string }

// cached is a cached response to a look-up.
type cached struct {
	mu      sync.Mutex // held during a look-up, so that concurrent requests of a client share one look-up
	entries []callers.Entry
	expires time.Time
}

// directory looks up entry instances as callers do.
type directory struct {
	http     *http.Client
	platform string
	mu       sync.Mutex
	known    []string // addresses of live entry instances, from the platform's list
	answers  map[caller]*cached
	stats    *Stats
}

func newDirectory(client *http.Client, platform string, stats *Stats) *directory {
	return &directory{http: client, platform: platform, answers: make(map[caller]*cached), stats: stats}
}

// entries returns the entry instances to use, best first. If no entry instance answers, the expired response is used, or the
// error is ErrNoEntry. The random number pick selects the first listed entry instance to try.
func (d *directory) entries(ctx context.Context, c caller, pick uint64) ([]callers.Entry, error) {
	d.mu.Lock()
	a := d.answers[c]
	if a == nil {
		a = &cached{}
		d.answers[c] = a
	}
	d.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.entries) > 0 && time.Now().Before(a.expires) {
		return a.entries, nil
	}
	var addresses []string
	for _, e := range a.entries {
		addresses = append(addresses, e.Address)
	}
	d.mu.Lock()
	for i := 0; i < len(d.known) && i < maxBootstrap; i++ {
		addresses = append(addresses, d.known[(int(pick%uint64(len(d.known)))+i)%len(d.known)])
	}
	d.mu.Unlock()
	for _, address := range addresses {
		r, err := d.lookUp(ctx, address, c)
		if err != nil || len(r.Entries) == 0 {
			d.stats.LookupsFailed.Add(1)
			continue
		}
		a.entries, a.expires = r.Entries, time.Now().Add(max(time.Duration(r.TTLSeconds)*time.Second, minLookupTTL))
		return a.entries, nil
	}
	if len(a.entries) > 0 {
		return a.entries, nil
	}
	return nil, ErrNoEntry
}

// expire makes the next call of entries look up again, after an entry instance failed. The old response remains as a fallback.
func (d *directory) expire(c caller) {
	d.mu.Lock()
	a := d.answers[c]
	d.mu.Unlock()
	if a != nil {
		a.mu.Lock()
		a.expires = time.Time{}
		a.mu.Unlock()
	}
}

// lookUp sends one look-up to the entry instance at the address.
func (d *directory) lookUp(ctx context.Context, address string, c caller) (*callers.LookupReply, error) {
	d.stats.Lookups.Add(1)
	q := url.Values{"customer": {c.customer}, "service": {c.service}, "region": {c.region}, "client": {c.client}}
	var r callers.LookupReply
	err := getJSON(ctx, d.http, lookupTimeout, "http://"+address+callers.PathLookup+"?"+q.Encode(), maxLookupReply, &r)
	return &r, err
}

// refresh reads the platform's list of instances, returns it, and updates the known addresses.
func (d *directory) refresh(ctx context.Context) ([]storeapi.Instance, error) {
	var r storeapi.InstancesReply
	if err := getJSON(ctx, d.http, lookupTimeout, "http://"+d.platform+storeapi.PathInstances, maxLookupReply, &r); err != nil {
		return nil, err
	}
	var known []string
	for _, in := range r.Instances {
		if in.CallerAddress != "" && in.Status == "live" {
			known = append(known, in.CallerAddress)
		}
	}
	d.mu.Lock()
	d.known = known
	d.mu.Unlock()
	return r.Instances, nil
}

// getJSON sends a GET request and decodes the JSON response of at most limit bytes.
func getJSON(ctx context.Context, client *http.Client, timeout time.Duration, address string, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "get %s", address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return errors.Wrapf(err, "get %s", address)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("get %s: status %d: %.200s", address, resp.StatusCode, data)
	case int64(len(data)) > limit:
		return errors.Errorf("get %s: response is larger than %d bytes", address, limit)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "get %s", address)
}
