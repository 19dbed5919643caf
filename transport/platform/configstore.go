package platform

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/rollout"
	"azurebridge/internal/wait"
	"azurebridge/protocol/configcodec"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

// Bounds of an apply.
const (
	OutcomeCheckInterval = 200 * time.Millisecond // between attempts to find out the outcome of a write whose reply was lost
	ApplyTimeout         = 10 * time.Second       // for the whole apply, including such attempts
	maxChunkTries        = 3                      // to write one chunk, when replies are lost
)

// KV is the part of the store client that a ConfigStore uses.
type KV interface {
	Get(ctx context.Context, key string) (storeapi.Entry, error)
	CAS(ctx context.Context, r storeapi.CASRequest) (storeapi.CASReply, error)
}

// ConfigStore reads the accepted configuration from the store and replaces it.
type ConfigStore struct {
	kv    KV
	pause func(context.Context, time.Duration) bool // wait.For, replaced in tests
}

// NewConfigStore returns a ConfigStore on the store.
func NewConfigStore(kv KV) *ConfigStore { return &ConfigStore{kv: kv, pause: wait.For} }

// ErrReplaced is the cause when a later revision replaced a configuration while it was read.
var ErrReplaced = errors.New("a later configuration has replaced it")

// ConflictError reports that a proposal was not accepted, because Base, the revision that it was made from, is not the revision
// of Head, the accepted configuration.
type ConflictError struct {
	Base state.Revision
	Head configcodec.Head
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration was made from revision %d, but revision %d by %q has been accepted", e.Base, e.Head.Revision, e.Head.Author)
}

// Proposal is a configuration to be accepted.
type Proposal struct {
	Config  *state.Config
	Base    state.Revision // revision that the configuration was made from
	InForce state.Revision // revision in force at this instance; a valid Base also after the store has lost its content
	Author  string
	Request string // identifies the operator's request when it is repeated; empty for none
}

// Result is an accepted configuration. Config is nil and Item empty when an earlier attempt of the same request was
// accepted.
type Result struct {
	Revision state.Revision
	Item     rollout.Item
	Config   *state.Config
}

// Head reads the head of the accepted configuration and its version in the store. Both are zero when there is none.
func (s *ConfigStore) Head(ctx context.Context) (configcodec.Head, uint64, error) {
	e, err := s.kv.Get(ctx, configcodec.KeyHead)
	if err != nil || e.Version == 0 {
		return configcodec.Head{}, 0, errors.Wrap(err, "read configuration head")
	}
	h, err := configcodec.DecodeHead(e.Value)
	return h, e.Version, errors.Wrap(err, "read configuration head")
}

// Load reads the configuration that the head names. The cause of the error is ErrReplaced when a later
// revision replaces it meanwhile.
func (s *ConfigStore) Load(ctx context.Context, h configcodec.Head) (rollout.Item, *state.Config, error) {
	digest, err := configcodec.ParseDigest(h.Digest)
	if err != nil {
		return rollout.Item{}, nil, errors.Wrap(err, "read configuration")
	}
	it := rollout.Item{Revision: h.Revision, Digest: digest}
	for n := range h.Chunks {
		e, err := s.kv.Get(ctx, configcodec.ChunkKey(h.Digest, n))
		if err != nil {
			return rollout.Item{}, nil, errors.Wrapf(err, "read configuration %d", h.Revision)
		}
		if e.Version == 0 {
			return rollout.Item{}, nil, errors.Wrapf(ErrReplaced, "read configuration %d: chunk %d is missing", h.Revision, n)
		}
		it.Data = append(it.Data, e.Value...)
	}
	c, err := configcodec.Decode(it)
	return it, c, errors.Wrapf(err, "read configuration %d", h.Revision)
}

// Accept writes a valid configuration as the successor of p.Base. The error is a *ConflictError, or has ErrUncertain
// as cause when it is unknown whether the configuration was accepted; after any other error it was not accepted.
func (s *ConfigStore) Accept(ctx context.Context, p Proposal) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	head, version, err := s.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	if a, ok := head.Find(p.Request); ok {
		return Result{Revision: a.Revision}, nil
	}
	if head.Revision != p.Base && !(p.Base > head.Revision && p.Base == p.InForce) {
		return Result{}, &ConflictError{p.Base, head}
	}
	cfg := p.Config.Clone()
	// The nonce makes the chunks of each attempt distinct, so that one attempt never deletes those of another.
	cfg.Revision, cfg.Author, cfg.Nonce = p.Base+1, p.Author, rand.Text()
	it, err := configcodec.Encode(cfg)
	if err != nil {
		return Result{}, err
	}
	next := head.Next(it, p.Author, cfg.Nonce, p.Request)
	if err := s.putChunks(ctx, next, it.Data); err != nil {
		s.deleteChunks(ctx, next)
		return Result{}, err
	}
	if err := s.writeHead(ctx, version, p.Base, next); err != nil {
		if !errors.Is(err, ErrUncertain) {
			s.deleteChunks(ctx, next)
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if a, ok := conflict.Head.Find(p.Request); ok {
				return Result{Revision: a.Revision}, nil
			}
		}
		return Result{}, err
	}
	s.deleteChunks(ctx, head)
	return Result{Revision: cfg.Revision, Item: it, Config: cfg}, nil
}

// putChunks creates the chunks. Their keys hold the configuration's digest, so that an existing chunk has the same content.
func (s *ConfigStore) putChunks(ctx context.Context, h configcodec.Head, data []byte) error {
	for n := range h.Chunks {
		if err := s.putChunk(ctx, configcodec.ChunkKey(h.Digest, n), configcodec.Chunk(data, n)); err != nil {
			// Not ErrUncertain: without the head, a chunk that may have been written has no effect.
			return errors.Wrapf(ErrUnavailable, "write configuration %d: chunk %d: %v", h.Revision, n, err)
		}
	}
	return nil
}

func (s *ConfigStore) putChunk(ctx context.Context, key string, chunk []byte) error {
	var err error
	for range maxChunkTries {
		var r storeapi.CASReply
		r, err = s.kv.CAS(ctx, storeapi.CASRequest{Key: key, Value: chunk})
		switch {
		case err == nil && (r.OK || bytes.Equal(r.Current.Value, chunk)):
			return nil
		case err == nil:
			return errors.Errorf("%s exists with other content", key)
		case !errors.Is(err, ErrUncertain) || ctx.Err() != nil:
			return err
		}
		s.pause(ctx, OutcomeCheckInterval)
	}
	return err
}

// deleteChunks removes the chunks of a configuration that is not the accepted one. Chunks that remain because the store
// does not answer take space and do no other harm.
func (s *ConfigStore) deleteChunks(ctx context.Context, h configcodec.Head) {
	for n := range h.Chunks {
		r := storeapi.CASRequest{Key: configcodec.ChunkKey(h.Digest, n), Version: 1, Delete: true}
		if _, err := s.kv.CAS(ctx, r); err != nil {
			return
		}
	}
}

// writeHead makes next the accepted head. After a lost reply it reads the head again, and repeats the same write while the
// head is unchanged, so that a delayed write cannot take effect after the return.
func (s *ConfigStore) writeHead(ctx context.Context, version uint64, base state.Revision, next configcodec.Head) error {
	value, err := configcodec.EncodeHead(next)
	if err != nil {
		return err
	}
	uncertain := false
	for {
		r, err := s.kv.CAS(ctx, storeapi.CASRequest{Key: configcodec.KeyHead, Value: value, Version: version})
		switch {
		case err == nil && r.OK:
			return nil
		case err == nil:
			return writeOutcome(r.Current, base, next)
		case errors.Is(err, ErrUncertain):
			uncertain = true
		case !uncertain:
			return errors.Wrapf(err, "accept configuration %d", next.Revision)
		}
		for {
			s.pause(ctx, OutcomeCheckInterval)
			if ctx.Err() != nil {
				return errors.Wrapf(ErrUncertain, "accept configuration %d: no reply to the write, and its outcome was not found out in time", next.Revision)
			}
			e, err := s.kv.Get(ctx, configcodec.KeyHead)
			if err != nil {
				continue
			}
			if e.Version != version {
				return writeOutcome(e, base, next)
			}
			break
		}
	}
}

// writeOutcome returns nil if the write of the head written took effect, also when a later head has replaced it since. e is the
// head's entry in the store, which is no longer the one that the write was based on.
func writeOutcome(e storeapi.Entry, base state.Revision, written configcodec.Head) error {
	h := configcodec.Head{}
	if e.Version > 0 {
		var err error
		if h, err = configcodec.DecodeHead(e.Value); err != nil {
			return errors.Wrapf(ErrUncertain, "accept configuration %d: %v", written.Revision, err)
		}
	}
	for _, a := range h.Recent {
		switch {
		case a.Nonce == written.Nonce && a.Digest == written.Digest:
			return nil
		case a.Revision <= written.Revision:
			return &ConflictError{base, h}
		}
	}
	if h.Revision > written.Revision {
		return errors.Wrapf(ErrUncertain, "accept configuration %d: revision %d is in force and lists too few earlier ones", written.Revision, h.Revision)
	}
	return &ConflictError{base, h}
}
