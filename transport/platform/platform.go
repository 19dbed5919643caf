// Package platform is the HTTP client of the platform's services: the key-value store and the list of instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/storeapi"
)

// Bounds of calls to the platform.
const (
	CallTimeout  = 2 * time.Second
	WatchTimeout = 30 * time.Second // the store answers a watch after this time if nothing has changed
	MaxReply     = 8 << 20          // bytes
)

// ErrUncertain is the cause when a write may or may not have taken effect.
var ErrUncertain = errors.New("the outcome of the write is unknown")

// ErrUnavailable is the cause when the store answered that it did not carry out a call, could not be reached, or did
// not answer a read.
var ErrUnavailable = errors.New("the store is unavailable")

// Client calls the platform's services. Its methods may be used by several goroutines.
type Client struct {
	base  string
	http  *http.Client
	Calls Counters
}

// New returns a client for the service at host:port.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 16, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}}}
}

// Get reads a key. Version 0 means that it does not exist.
func (c *Client) Get(ctx context.Context, key string) (storeapi.Entry, error) {
	var e storeapi.Entry
	c.Calls.Reads.Add(1)
	err := c.get(ctx, CallTimeout, storeapi.PathGet, url.Values{"key": {key}}, &e)
	return e, err
}

// List reads the entries below a prefix in key order, starting after the key `after`.
func (c *Client) List(ctx context.Context, prefix, after string) (storeapi.ListReply, error) {
	var r storeapi.ListReply
	c.Calls.Reads.Add(1)
	err := c.get(ctx, CallTimeout, storeapi.PathList, url.Values{"prefix": {prefix}, "after": {after}}, &r)
	return r, err
}

// Watch waits until the version of the key differs from seen, or WatchTimeout is over, and returns the entry.
func (c *Client) Watch(ctx context.Context, key string, seen uint64) (storeapi.Entry, error) {
	var e storeapi.Entry
	c.Calls.Reads.Add(1)
	q := url.Values{"key": {key}, "seen": {strconv.FormatUint(seen, 10)}, "timeout_ms": {strconv.Itoa(int(WatchTimeout / time.Millisecond))}}
	err := c.get(ctx, WatchTimeout+CallTimeout, storeapi.PathWatch, q, &e)
	return e, err
}

// CAS writes a key if its version is the expected one. When it fails, the cause is ErrUnavailable if the write is known
// not to have taken effect, and ErrUncertain otherwise.
func (c *Client) CAS(ctx context.Context, r storeapi.CASRequest) (storeapi.CASReply, error) {
	var reply storeapi.CASReply
	c.Calls.Writes.Add(1)
	err := c.post(ctx, storeapi.PathCAS, r, &reply)
	return reply, err
}

// Lease creates, renews or ends a lease.
func (c *Client) Lease(ctx context.Context, r storeapi.LeaseRequest) (storeapi.LeaseReply, error) {
	var reply storeapi.LeaseReply
	c.Calls.Writes.Add(1)
	err := c.post(ctx, storeapi.PathLease, r, &reply)
	return reply, err
}

// Instances reads the list of instances.
func (c *Client) Instances(ctx context.Context) ([]storeapi.Instance, error) {
	var r storeapi.InstancesReply
	c.Calls.Reads.Add(1)
	err := c.get(ctx, CallTimeout, storeapi.PathInstances, nil, &r)
	return r.Instances, err
}

func (c *Client) get(ctx context.Context, timeout time.Duration, path string, q url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+q.Encode(), nil)
	if err != nil {
		return errors.Wrapf(err, "store %s", path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.Calls.Failed.Add(1)
		return errors.Wrapf(ErrUnavailable, "store %s at %s: %v", path, c.base, err)
	}
	return c.decode(path, resp, into)
}

func (c *Client) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "store %s", path)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "store %s", path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.Calls.Failed.Add(1)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return errors.Wrapf(ErrUnavailable, "store %s at %s: %v", path, c.base, err) // nothing was sent
		}
		return errors.Wrapf(ErrUncertain, "store %s at %s: %v", path, c.base, err)
	}
	if err := c.decode(path, resp, into); err != nil {
		if errors.Is(err, ErrUnavailable) {
			return err
		}
		return errors.Wrapf(ErrUncertain, "%v", err)
	}
	return nil
}

// decode reads a reply. Status 503 and 429 mean that the store did not carry out the call.
func (c *Client) decode(path string, resp *http.Response, into any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxReply+1))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.Calls.Failed.Add(1)
		return errors.Wrapf(ErrUnavailable, "store %s at %s: status %d", path, c.base, resp.StatusCode)
	case err != nil:
		c.Calls.Failed.Add(1)
		return errors.Wrapf(err, "store %s at %s: read reply", path, c.base)
	case len(data) > MaxReply:
		c.Calls.Failed.Add(1)
		return errors.Errorf("store %s at %s: reply is larger than %d bytes", path, c.base, MaxReply)
	case resp.StatusCode != http.StatusOK:
		c.Calls.Failed.Add(1)
		return errors.Errorf("store %s at %s: status %d: %.200s", path, c.base, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		c.Calls.Failed.Add(1)
		return errors.Wrapf(err, "store %s at %s: malformed reply", path, c.base)
	}
	return nil
}
