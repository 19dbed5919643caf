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

// Load of the callers.
const (
	callerCount  = 30
	callerPause  = 200 * time.Millisecond // mean, between two requests of a caller
	lookupEvery  = time.Second
	callTimeout  = 5 * time.Second
	callDeadline = 4 * time.Second // told to the system
	objectCount  = 40
)

// call is one request as its caller saw it.
type call struct {
	ID        string
	Write     bool // may run at most once
	Instance  *instance
	Start     time.Time
	End       time.Time
	Status    int // 0 without an answer
	Body      string
	Signature string
	Err       error
}

// ok reports whether the caller was served.
func (c *call) ok() bool { return c.Err == nil && c.Status == http.StatusOK }

// callers send requests and keep what they were told.
type callers struct {
	instances []*instance
	next      atomic.Int64

	mu    sync.Mutex
	calls []*call
}

// run sends requests until ctx ends, and waits for the answers.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		all.Go(func() { c.caller(ctx, r, n) })
	}
	all.Wait()
}

// caller is one caller. Each third one never looks up again: it stays with an instance until that takes no connection.
func (c *callers) caller(ctx context.Context, r *rand.Rand, number int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	stays := number%3 == 0
	d := domains[number%len(domains)]
	at := c.instances[number%len(c.instances)]
	var known []*instance
	looked := time.Now()
	for ctx.Err() == nil {
		if !stays && time.Since(looked) > lookupEvery {
			looked = time.Now()
			known = c.lookUp(ctx, client, at, d.name, d.region, known)
			if len(known) > 0 {
				at = known[r.IntN(len(known))]
			}
		}
		done := c.send(client, at, r)
		if done.Err != nil {
			at = c.instances[r.IntN(len(c.instances))]
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.ExpFloat64() * float64(callerPause))):
		}
	}
}

// lookUp returns the instances that one of them names, or those known before.
func (c *callers) lookUp(ctx context.Context, client *http.Client, at *instance, domain, region string, known []*instance) []*instance {
	ctx, cancel := context.WithTimeout(ctx, lookupEvery)
	defer cancel()
	addresses, err := standin.LookUp(ctx, client, at.lookups, domain, region)
	if err != nil {
		return known // a caller whose look-up fails goes on with what it knows
	}
	return slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return !slices.Contains(addresses, i.callers) })
}

// send sends one request and keeps the outcome.
func (c *callers) send(client *http.Client, at *instance, r *rand.Rand) *call {
	n := c.next.Add(1)
	out := &call{ID: fmt.Sprintf("soak-%d", n), Write: n%3 == 0, Instance: at}
	method, path, body := http.MethodGet, standin.ReadPath, ""
	if out.Write {
		method, path, body = http.MethodPost, standin.WritePath, "body of "+out.ID
	}
	req, err := http.NewRequest(method, "http://"+at.callers+path+"a", strings.NewReader(body))
	if err != nil {
		panic(err) // the address is the soak's own
	}
	req.Host = standin.Host
	object := fmt.Sprint(r.IntN(objectCount))
	for name, value := range standin.CallerHeaders(out.ID, object, fmt.Sprint(callDeadline.Milliseconds())) {
		req.Header.Set(name, value)
	}
	out.Start = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		out.Status, out.Body, out.Signature = resp.StatusCode, string(data), resp.Header.Get(standin.SignatureHeader)
	}
	out.End, out.Err = time.Now(), err
	c.mu.Lock()
	c.calls = append(c.calls, out)
	c.mu.Unlock()
	return out
}
