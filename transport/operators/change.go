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

// change is a change that an operator asks for.
type change struct {
	author  string
	request string
	mutate  func(*state.Config) error
}

func (m *Manager) serveApply(c iris.Context) {
	var a operatorapi.Apply
	if err := read(c, operatorapi.MaxConfigBody, &a); err != nil {
		fail(c, err)
		return
	}
	cfg, err := planfile.Parse(operatorapi.Files(), a.Files)
	if err == nil {
		err = checkRequest(a.Request)
	}
	if err != nil {
		fail(c, err)
		return
	}
	ctx, cancel := changeContext(c)
	defer cancel()
	r, err := m.accept(ctx, platform.Proposal{Config: cfg, Base: a.Base, Author: author(c.Request()), Request: a.Request})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		err = m.bothSides(ctx, conflict, cfg)
	}
	if err != nil {
		fail(c, err)
		return
	}
	answer(c, http.StatusOK, operatorapi.Accepted{Revision: r.Revision})
}

func (m *Manager) serveDrain(c iris.Context) { m.drain(c, true) }

func (m *Manager) serveUndrain(c iris.Context) { m.drain(c, false) }

func (m *Manager) drain(c iris.Context, on bool) {
	var d operatorapi.Drain
	if err := read(c, operatorapi.MaxChangeBody, &d); err != nil {
		fail(c, err)
		return
	}
	want := state.Drain{Kind: d.Kind, Name: d.Name}
	m.serveChange(c, change{request: d.Request, mutate: func(cfg *state.Config) error {
		kept := cfg.Drains[:0]
		for _, other := range cfg.Drains {
			if other != want {
				kept = append(kept, other)
			}
		}
		cfg.Drains = kept
		if on {
			cfg.Drains = append(cfg.Drains, want)
		}
		return nil
	}})
}

func (m *Manager) serveCap(c iris.Context) {
	var r operatorapi.Cap
	if err := read(c, operatorapi.MaxChangeBody, &r); err != nil {
		fail(c, err)
		return
	}
	m.serveChange(c, change{request: r.Request, mutate: func(cfg *state.Config) error {
		kept, found := cfg.Shifts[:0], false
		for _, s := range cfg.Shifts {
			if s.Name == r.Name {
				found = true
				continue
			}
			kept = append(kept, s)
		}
		cfg.Shifts = kept
		if r.Remove {
			if !found {
				return invalid("unknown shift %q", r.Name)
			}
			return nil
		}
		cfg.Shifts = append(cfg.Shifts, state.Shift{Name: r.Name, From: r.From, To: r.To, MaxRunning: r.MaxRunning, RampPerSecond: r.RampPerSecond})
		return nil
	}})
}

func (m *Manager) serveChange(c iris.Context, ch change) {
	ctx, cancel := changeContext(c)
	defer cancel()
	ch.author = author(c.Request())
	a, err := m.merge(ctx, ch)
	if err != nil {
		fail(c, err)
		return
	}
	answer(c, http.StatusOK, a)
}

// changeContext outlives the operator's connection, so that a change is settled once it has begun.
func changeContext(c iris.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.Request().Context()), ChangeTime)
}

func checkRequest(id string) error {
	if len(id) > operatorapi.MaxRequestID {
		return invalid("request: %d bytes, limit is %d", len(id), operatorapi.MaxRequestID)
	}
	return nil
}

// merge applies a change to the accepted configuration, again when another change comes first. The wait before each try
// is random, so that changes at several instances do not keep overtaking each other.
func (m *Manager) merge(ctx context.Context, ch change) (operatorapi.Accepted, error) {
	if err := checkRequest(ch.request); err != nil {
		return operatorapi.Accepted{}, err
	}
	for try := 1; ; try++ {
		a, err := m.mergeOnce(ctx, ch)
		var conflict *platform.ConflictError
		overtaken := errors.As(err, &conflict)
		if !overtaken && !errors.Is(err, platform.ErrReplaced) {
			return a, err
		}
		if try == MaxMergeTries || ctx.Err() != nil {
			return a, &operatorapi.Error{Kind: operatorapi.ErrorConflict, Message: err.Error()}
		}
		time.Sleep(rand.N(min(MergeWait<<try, MaxMergeWait)))
	}
}

func (m *Manager) mergeOnce(ctx context.Context, ch change) (operatorapi.Accepted, error) {
	head, _, err := m.store.Head(ctx)
	if err != nil {
		return operatorapi.Accepted{}, err
	}
	if a, ok := head.Find(ch.request); ok {
		return operatorapi.Accepted{Revision: a.Revision}, nil
	}
	old, err := m.accepted(ctx, head)
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

// validate returns the faults as problems of the files that the configuration would be written to.
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

// accepted returns the configuration of a head: the one in force here if it is the same, or from the store.
func (m *Manager) accepted(ctx context.Context, h configcodec.Head) (*state.Config, error) {
	if c := m.control.Snapshot().Config; c.Revision >= h.Revision {
		return c, nil
	}
	_, c, err := m.store.Load(ctx, h)
	return c, err
}

// accept writes a configuration to the store, and passes it to the control goroutine as soon as it is accepted.
func (m *Manager) accept(ctx context.Context, p platform.Proposal) (platform.Result, error) {
	p.InForce = m.control.Snapshot().Config.Revision
	r, err := m.store.Accept(ctx, p)
	if err != nil || r.Config == nil {
		return r, err
	}
	ev := control.Configured{Config: r.Config, Item: r.Item, Accepted: true}
	for m.control.Offer(ev) != nil && ctx.Err() == nil {
		time.Sleep(BusyRetry) // the readers of the store get it meanwhile
	}
	return r, nil
}

// bothSides turns a conflict into an error that shows what was accepted and what was asked for since the base.
func (m *Manager) bothSides(ctx context.Context, e *platform.ConflictError, yours *state.Config) error {
	out := &operatorapi.Conflict{Base: e.Base, Accepted: e.Head.Revision, Author: e.Head.Author}
	result := &operatorapi.Error{Kind: operatorapi.ErrorConflict, Message: e.Error(), Conflict: out}
	theirs, err := m.accepted(ctx, e.Head)
	if err != nil {
		result.Message += "; it could not be read for comparison: " + err.Error()
		return result
	}
	base, err := m.recall(ctx, e.Base)
	if err != nil {
		out.Yours = state.Diff(theirs, yours)
		return result
	}
	out.BaseKnown, out.Theirs, out.Yours = true, state.Diff(base, theirs), state.Diff(base, yours)
	return result
}

// recall returns an earlier configuration. It fails when this instance does not keep it.
func (m *Manager) recall(ctx context.Context, r state.Revision) (*state.Config, error) {
	type found struct {
		it    rollout.Item
		known bool
	}
	done := make(chan found, 1)
	if err := m.control.Offer(control.Recall{Revision: r, Done: func(it rollout.Item, known bool) { done <- found{it, known} }}); err != nil {
		return nil, errors.Wrapf(err, "recall configuration %d", r)
	}
	select {
	case f := <-done:
		if !f.known {
			return nil, errors.Errorf("recall configuration %d: not kept", r)
		}
		return configcodec.Decode(f.it)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "recall configuration %d", r)
	}
}
