package operators

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"azurebridge/coordination/control"
	"azurebridge/coordination/rollout"
	"azurebridge/protocol/configcodec"
	"azurebridge/protocol/inifile"
	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
	"azurebridge/transport/platform"
)

// configChange is an operator's change to the accepted configuration: a drain, an undrain, or a cap on traffic that is moved
// from one region to another (a shift).
type configChange struct {
	author  string
	request string // id chosen by the operator; may be empty
	mutate  func(*state.Config) error
}

func (m *Manager) serveApply(c iris.Context) {
	var apply operatorapi.Apply
	if err := readJSON(c, operatorapi.MaxConfigBody, &apply); err != nil {
		writeError(c, err)
		return
	}
	cfg, err := planfile.Parse(operatorapi.Files(), apply.Files)
	if err == nil {
		err = checkRequestID(apply.Request)
	}
	if err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := changeContext(c)
	defer cancel()
	r, err := m.accept(ctx, platform.Proposal{Config: cfg, Base: apply.Base, Author: author(c.Request()), Request: apply.Request})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		err = m.describeConflict(ctx, conflict, cfg)
	}
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, http.StatusOK, operatorapi.Accepted{Revision: r.Revision})
}

func (m *Manager) serveDrain(c iris.Context) { m.setDrain(c, true) }

func (m *Manager) serveUndrain(c iris.Context) { m.setDrain(c, false) }

// setDrain adds the drain that the request names, or removes it.
func (m *Manager) setDrain(c iris.Context, drained bool) {
	var d operatorapi.Drain
	if err := readJSON(c, operatorapi.MaxChangeBody, &d); err != nil {
		writeError(c, err)
		return
	}
	want := state.Drain{Kind: d.Kind, Name: d.Name}
	m.serveChange(c, configChange{request: d.Request, mutate: func(cfg *state.Config) error {
		remaining := cfg.Drains[:0]
		for _, other := range cfg.Drains {
			if other != want {
				remaining = append(remaining, other)
			}
		}
		cfg.Drains = remaining
		if drained {
			cfg.Drains = append(cfg.Drains, want)
		}
		return nil
	}})
}

func (m *Manager) serveCap(c iris.Context) {
	var r operatorapi.Cap
	if err := readJSON(c, operatorapi.MaxChangeBody, &r); err != nil {
		writeError(c, err)
		return
	}
	m.serveChange(c, configChange{request: r.Request, mutate: func(cfg *state.Config) error {
		remaining, found := cfg.Shifts[:0], false
		for _, s := range cfg.Shifts {
			if s.Name == r.Name {
				found = true
				continue
			}
			remaining = append(remaining, s)
		}
		cfg.Shifts = remaining
		if r.Remove {
			if !found {
				return invalidError("unknown shift %q", r.Name)
			}
			return nil
		}
		cfg.Shifts = append(cfg.Shifts, state.Shift{Name: r.Name, From: r.From, To: r.To, MaxRunning: r.MaxRunning, RampPerSecond: r.RampPerSecond})
		return nil
	}})
}

func (m *Manager) serveChange(c iris.Context, ch configChange) {
	ctx, cancel := changeContext(c)
	defer cancel()
	ch.author = author(c.Request())
	a, err := m.merge(ctx, ch)
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, http.StatusOK, a)
}

// changeContext returns a context that lasts ChangeTimeout even if the operator disconnects, so that a change that has begun is
// completed.
func changeContext(c iris.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.Request().Context()), ChangeTimeout)
}

func checkRequestID(id string) error {
	if len(id) > operatorapi.MaxRequestID {
		return invalidError("request: %d bytes, limit is %d", len(id), operatorapi.MaxRequestID)
	}
	return nil
}

// merge applies a change to the accepted configuration, and retries when another change was accepted first. The wait before
// each retry is random, so that concurrent changes at several instances do not keep conflicting.
func (m *Manager) merge(ctx context.Context, ch configChange) (operatorapi.Accepted, error) {
	if err := checkRequestID(ch.request); err != nil {
		return operatorapi.Accepted{}, err
	}
	for attempt := 1; ; attempt++ {
		a, err := m.mergeOnce(ctx, ch)
		var conflict *platform.ConflictError
		conflicting := errors.As(err, &conflict)
		if !conflicting && !errors.Is(err, platform.ErrReplaced) {
			return a, err
		}
		if attempt == MaxMergeAttempts || ctx.Err() != nil {
			return a, &operatorapi.Error{Kind: operatorapi.ErrorConflict, Message: err.Error()}
		}
		time.Sleep(rand.N(min(MergeWait<<attempt, MaxMergeWait)))
	}
}

// mergeOnce makes one attempt of merge.
func (m *Manager) mergeOnce(ctx context.Context, ch configChange) (operatorapi.Accepted, error) {
	head, _, err := m.store.Head(ctx)
	if err != nil {
		return operatorapi.Accepted{}, err
	}
	if a, ok := head.Find(ch.request); ok {
		return operatorapi.Accepted{Revision: a.Revision}, nil
	}
	old, err := m.acceptedConfig(ctx, head)
	if err != nil {
		return operatorapi.Accepted{}, err
	}
	cfg := old.Clone()
	if err := ch.mutate(cfg); err != nil {
		return operatorapi.Accepted{}, err
	}
	if len(state.Diff(old, cfg)) == 0 {
		return operatorapi.Accepted{Revision: old.Revision, Unchanged: true}, nil
	}
	if err := validate(cfg); err != nil {
		return operatorapi.Accepted{}, err
	}
	r, err := m.accept(ctx, platform.Proposal{Config: cfg, Base: old.Revision, Author: ch.author, Request: ch.request})
	return operatorapi.Accepted{Revision: r.Revision}, err
}

// validate returns the faults of the configuration as problems of the files that it would be written to, or nil.
func validate(cfg *state.Config) error {
	var faults state.Faults
	if !errors.As(cfg.Validate(), &faults) {
		return nil
	}
	var problems inifile.Problems
	for _, f := range faults {
		problems = append(problems, planfile.Problem(operatorapi.Files(), f))
	}
	return problems
}

// acceptedConfig returns the configuration that the head names: the one in force at this instance if its revision is the same
// or later, otherwise the one in the store.
func (m *Manager) acceptedConfig(ctx context.Context, h configcodec.Head) (*state.Config, error) {
	if c := m.control.Snapshot().Config; c.Revision >= h.Revision {
		return c, nil
	}
	_, c, err := m.store.Load(ctx, h)
	return c, err
}

// accept writes a configuration to the store and, once the store has accepted it, passes it to the control goroutine.
func (m *Manager) accept(ctx context.Context, p platform.Proposal) (platform.Result, error) {
	p.InForce = m.control.Snapshot().Config.Revision
	r, err := m.store.Accept(ctx, p)
	if err != nil || r.Config == nil {
		return r, err
	}
	ev := control.Configured{Config: r.Config, Item: r.Item, Accepted: true}
	for m.control.Offer(ev) != nil && ctx.Err() == nil {
		time.Sleep(BusyRetry) // meanwhile the readers (instances that watch the store) receive it from the store
	}
	return r, nil
}

// describeConflict returns an error with the changes accepted since the base (Theirs) and the changes requested (Yours). When
// the base is not known, Yours is the difference from the accepted configuration.
func (m *Manager) describeConflict(ctx context.Context, e *platform.ConflictError, yours *state.Config) error {
	out := &operatorapi.Conflict{Base: e.Base, Accepted: e.Head.Revision, Author: e.Head.Author}
	result := &operatorapi.Error{Kind: operatorapi.ErrorConflict, Message: e.Error(), Conflict: out}
	theirs, err := m.acceptedConfig(ctx, e.Head)
	if err != nil {
		result.Message += "; the accepted configuration could not be read for comparison: " + err.Error()
		return result
	}
	base, err := m.retainedConfig(ctx, e.Base)
	if err != nil {
		out.Yours = state.Diff(theirs, yours)
		return result
	}
	out.BaseKnown, out.Theirs, out.Yours = true, state.Diff(base, theirs), state.Diff(base, yours)
	return result
}

// retainedConfig returns an earlier configuration. It fails if this instance does not retain it.
func (m *Manager) retainedConfig(ctx context.Context, r state.Revision) (*state.Config, error) {
	type reply struct {
		item  rollout.Item
		known bool
	}
	done := make(chan reply, 1)
	if err := m.control.Offer(control.FindRevision{Revision: r, Done: func(item rollout.Item, known bool) { done <- reply{item, known} }}); err != nil {
		return nil, errors.Wrapf(err, "ask the control goroutine for configuration %d", r)
	}
	select {
	case f := <-done:
		if !f.known {
			return nil, errors.Errorf("configuration %d is not retained by this instance", r)
		}
		return configcodec.Decode(f.item)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "configuration %d: waiting for the control goroutine", r)
	}
}
