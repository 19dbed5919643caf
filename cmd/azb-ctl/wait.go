package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/state"
)

// pollInterval is the time between two status requests to one instance.
const pollInterval = 20 * time.Millisecond

// waitCmd waits until a revision is in force at all given instances.
type waitCmd struct {
	instanceFlags
	Revision uint64        `arg:"" help:"Revision to wait for."`
	For      time.Duration `help:"Longest wait." default:"8s"`
}

// waitResult is the result of the wait at one instance.
type waitResult struct {
	Instance string         `json:"instance"`
	Revision state.Revision `json:"revision"` // last seen
	Millis   int64          `json:"ms"`       // from the start of the command
	Error    string         `json:"error,omitempty"`
}

// Run polls every instance until it reports the revision or the time is over. It fails when the revision is not in force at
// all of them.
func (w *waitCmd) Run(p *printer) error {
	c, err := w.client()
	if err != nil {
		return err
	}
	start := time.Now()
	results := make([]waitResult, len(w.Instance))
	var group sync.WaitGroup
	for i, instance := range w.Instance {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = w.poll(&client{instances: []string{instance}, http: c.http}, instance, start)
		}()
	}
	group.Wait()
	behind := 0
	var longest int64
	for _, r := range results {
		if r.Revision < state.Revision(w.Revision) {
			behind++
		}
		longest = max(longest, r.Millis)
	}
	if behind > 0 {
		_ = p.result(results, func(out io.Writer) { writeWaitResults(out, results) }) // the error returned below is more important
		return errors.Errorf("revision %d is not in force at %d of %d instances after %s", w.Revision, behind, len(results), w.For)
	}
	return p.result(results, func(out io.Writer) {
		fmt.Fprintf(out, "revision %d in force at %d instances after %d ms\n", w.Revision, len(results), longest)
	})
}

func (w *waitCmd) poll(c *client, instance string, start time.Time) waitResult {
	r := waitResult{Instance: instance}
	for {
		var st operatorapi.Status
		err := c.get(operatorapi.PathStatus, &st)
		r.Error = ""
		if err != nil {
			r.Error = err.Error()
		}
		r.Revision, r.Millis = st.Revision, time.Since(start).Milliseconds()
		if r.Revision >= state.Revision(w.Revision) || time.Since(start) > w.For {
			return r
		}
		time.Sleep(pollInterval)
	}
}

func writeWaitResults(out io.Writer, results []waitResult) {
	for _, r := range results {
		fmt.Fprintf(out, "%s\trevision %d\t%d ms\t%s\n", r.Instance, r.Revision, r.Millis, oneLine(r.Error))
	}
}
