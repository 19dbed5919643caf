package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/platform/standin"
)

// Parameters of the load.
const (
	callerCount     = 30
	meanCallerPause = 200 * time.Millisecond // between two requests of a caller
	lookUpInterval  = time.Second
	callTimeout     = 5 * time.Second
	callDeadline    = 4 * time.Second // sent with each request
	objectCount     = 40
)

// call is one request and its outcome as the caller observed it.
type call struct {
	ID        string
	Write     bool // must run at most once
	Instance  *instance
	Start     time.Time
	End       time.Time
	Status    int // 0 when no answer arrived
	Body      string
	Signature string
	Leaving   bool // the answer says that the server leaves
	Limited   bool // the answer names a limit of the server
	Err       error
}

// ok reports whether the caller was served.
func (c *call) ok() bool { return c.Err == nil && c.Status == http.StatusOK }

// callers send requests and record the answers.
type callers struct {
	instances []*instance
	lastID    atomic.Int64

	mu    sync.Mutex
	calls []*call
}

// run sends requests until ctx ends, and waits for the answers.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		all.Go(func() { c.runCaller(ctx, r, n) })
	}
	all.Wait()
}

// runCaller sends the requests of one caller until ctx ends. Every third caller makes no look-ups: it stays with an instance
// until a request ends without a complete answer.
func (c *callers) runCaller(ctx context.Context, r *rand.Rand, number int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	var ahead aheadConn // of callers that send requests ahead
	defer ahead.close()
	sticky := number%3 == 0
	d := domains[number%len(domains)]
	target := c.instances[number%len(c.instances)]
	var known []*instance
	lastLookUp := time.Now()
	for ctx.Err() == nil {
		if !sticky && time.Since(lastLookUp) > lookUpInterval {
			lastLookUp = time.Now()
			known = c.lookUp(ctx, client, target, d.name, d.region, known)
			if len(known) > 0 {
				target = known[r.IntN(len(known))]
			}
		}
		var result *call
		if number%aheadCallers == 0 {
			result = c.sendAhead(&ahead, target, r)
		} else {
			result = c.send(client, target, r)
		}
		if result.Err != nil {
			target = c.instances[r.IntN(len(c.instances))]
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.ExpFloat64() * float64(meanCallerPause))):
		}
	}
}

// lookUp asks the target instance for the instances to use. When the look-up fails it returns known.
func (c *callers) lookUp(ctx context.Context, client *http.Client, target *instance, domain, region string, known []*instance) []*instance {
	ctx, cancel := context.WithTimeout(ctx, lookUpInterval)
	defer cancel()
	addresses, err := standin.LookUp(ctx, client, target.directory, domain, region)
	if err != nil {
		return known // a caller whose look-up fails keeps using the earlier result
	}
	return slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return !slices.Contains(addresses, i.callers) })
}

// newCall returns the next call, with its request. Every third one must run at most once, where mayWrite is set.
func (c *callers) newCall(target *instance, r *rand.Rand, mayWrite bool) (*call, *http.Request) {
	n := c.lastID.Add(1)
	out := &call{ID: fmt.Sprintf("soak-%d", n), Write: mayWrite && n%3 == 0, Instance: target}
	method, path, body := http.MethodGet, standin.ReadPath, ""
	if out.Write {
		method, path, body = http.MethodPost, standin.WritePath, "body of "+out.ID
	}
	req, err := http.NewRequest(method, "http://"+target.callers+path+"a", strings.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: azb-soak itself chose the address
	}
	req.Host = standin.Host
	object := fmt.Sprint(r.IntN(objectCount))
	for name, value := range standin.CallerHeaders(out.ID, object, fmt.Sprint(callDeadline.Milliseconds())) {
		req.Header.Set(name, value)
	}
	out.Start = time.Now()
	return out, req
}

// send sends one request and records the outcome.
func (c *callers) send(client *http.Client, target *instance, r *rand.Rand) *call {
	out, req := c.newCall(target, r, true)
	resp, err := client.Do(req)
	c.record(out, resp, err)
	return out
}

// record reads the answer, unless err is set, and records the outcome.
func (c *callers) record(out *call, resp *http.Response, err error) {
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		out.Status, out.Body, out.Signature = resp.StatusCode, string(data), resp.Header.Get(standin.SignatureHeader)
		out.Leaving = resp.Header.Get(standin.LeavingHeader) != ""
		out.Limited = resp.Header.Get(standin.LimitHeader) != ""
	}
	out.End, out.Err = time.Now(), err
	c.mu.Lock()
	c.calls = append(c.calls, out)
	c.mu.Unlock()
}
