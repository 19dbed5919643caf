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

// Bounds of look-ups.
const (
	lookupTimeout  = time.Second
	maxLookupReply = 1 << 20 // bytes
	maxBootstrap   = 3       // entry instances that are asked for one look-up
	minLookupTTL   = time.Second
)

// ErrNoEntry tells that no entry instance answered a look-up.
var ErrNoEntry = errors.New("no entry instance answered the look-up")

// caller is one client of a customer: it asks for a service and keeps the answer as long as it may.
type caller struct{ customer, service, region, client string }

// cached is the answer to a look-up.
type cached struct {
	mu      sync.Mutex // held during a look-up, so that a client asks once
	entries []callers.Entry
	until   time.Time
}

// directory finds entry instances as callers do.
type directory struct {
	http     *http.Client
	platform string
	mu       sync.Mutex
	known    []string // addresses of entry instances, from the platform's list
	answers  map[caller]*cached
	stats    *Stats
}

func newDirectory(client *http.Client, platform string, stats *Stats) *directory {
	return &directory{http: client, platform: platform, answers: make(map[caller]*cached), stats: stats}
}

// entries returns the entry instances to use, best first. An answer that is no longer fresh is used on when no entry
// instance answers.
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
	if len(a.entries) > 0 && time.Now().Before(a.until) {
		return a.entries, nil
	}
	var ask []string
	for _, e := range a.entries {
		ask = append(ask, e.Address)
	}
	d.mu.Lock()
	for i := 0; i < len(d.known) && i < maxBootstrap; i++ {
		ask = append(ask, d.known[(int(pick%uint64(len(d.known)))+i)%len(d.known)])
	}
	d.mu.Unlock()
	for _, address := range ask {
		r, err := d.ask(ctx, address, c)
		if err != nil || len(r.Entries) == 0 {
			d.stats.LookupsFailed.Add(1)
			continue
		}
		a.entries, a.until = r.Entries, time.Now().Add(max(time.Duration(r.TTLSeconds)*time.Second, minLookupTTL))
		return a.entries, nil
	}
	if len(a.entries) > 0 {
		return a.entries, nil
	}
	return nil, ErrNoEntry
}

// forget drops the answer of a caller, after an entry instance that it names failed.
func (d *directory) forget(c caller) {
	d.mu.Lock()
	a := d.answers[c]
	d.mu.Unlock()
	if a != nil {
		a.mu.Lock()
		a.until = time.Time{}
		a.mu.Unlock()
	}
}

func (d *directory) ask(ctx context.Context, address string, c caller) (*callers.LookupReply, error) {
	d.stats.Lookups.Add(1)
	q := url.Values{"customer": {c.customer}, "service": {c.service}, "region": {c.region}, "client": {c.client}}
	var r callers.LookupReply
	err := getJSON(ctx, d.http, lookupTimeout, "http://"+address+callers.PathLookup+"?"+q.Encode(), maxLookupReply, &r)
	return &r, err
}

// refresh reads the platform's list of instances.
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

// getJSON reads a JSON answer of at most limit bytes.
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
		return errors.Errorf("get %s: answer is larger than %d bytes", address, limit)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "get %s", address)
}
