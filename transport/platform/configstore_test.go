package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/protocol/configcodec"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
)

// fakeKV is a store in memory. before and after are called around each write; the caller gets the error that they return.
type fakeKV struct {
	entries map[string]storeapi.Entry
	before  func(storeapi.CASRequest) error // after its error the write does not take effect
	after   func(storeapi.CASRequest) error // despite its error the write has taken effect
	readErr error                           // returned by each read
}

func newFakeKV() *fakeKV { return &fakeKV{entries: make(map[string]storeapi.Entry)} }

func (f *fakeKV) Get(_ context.Context, key string) (storeapi.Entry, error) {
	return f.entries[key], f.readErr
}

func (f *fakeKV) CAS(_ context.Context, r storeapi.CASRequest) (storeapi.CASReply, error) {
	if f.before != nil {
		if err := f.before(r); err != nil {
			return storeapi.CASReply{}, err
		}
	}
	e := f.entries[r.Key]
	ok := e.Version == r.Version
	switch {
	case ok && r.Delete:
		delete(f.entries, r.Key)
	case ok:
		e = storeapi.Entry{Key: r.Key, Value: r.Value, Version: r.Version + 1}
		f.entries[r.Key] = e
	}
	if f.after != nil {
		if err := f.after(r); err != nil {
			return storeapi.CASReply{}, err
		}
	}
	return storeapi.CASReply{OK: ok, Current: e}, nil
}

func (f *fakeKV) chunks() int {
	n := 0
	for key := range f.entries {
		if strings.HasPrefix(key, configcodec.ChunkPrefix) {
			n++
		}
	}
	return n
}

// newTestStore returns a ConfigStore that does not wait. cancelApply, if not nil, is called in place of each
// wait to cancel the apply.
func newTestStore(kv KV, cancelApply context.CancelFunc) *ConfigStore {
	return &ConfigStore{kv: kv, pause: func(context.Context, time.Duration) bool {
		if cancelApply != nil {
			cancelApply()
		}
		return cancelApply == nil
	}}
}

func proposal(base state.Revision, customer state.CustomerName) Proposal {
	return Proposal{Base: base, Author: "a", Request: string(customer), Config: &state.Config{
		Regions: []state.Region{{Name: "r", Domains: []state.DomainName{"d"}}}, Plans: []state.Plan{{Name: "p"}},
		Customers: []state.Customer{{Name: customer, Plan: "p"}},
	}}
}

// failHeadWrites returns a hook that fails the first n writes of the head.
func failHeadWrites(n int, err error) func(storeapi.CASRequest) error {
	return func(r storeapi.CASRequest) error {
		if r.Key != configcodec.KeyHead || n == 0 {
			return nil
		}
		n--
		return err
	}
}

// Guards against an apply that is lost, is not readable afterwards, or leaves the chunks of earlier revisions behind.
func TestAcceptReplacesAndCleansUp(t *testing.T) {
	g := NewWithT(t)
	kv := newFakeKV()
	s := newTestStore(kv, nil)
	var last configcodec.Head
	for i, name := range []state.CustomerName{"x", "y", "z"} {
		r, err := s.Accept(context.Background(), proposal(state.Revision(i), name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Revision).To(Equal(state.Revision(i + 1)))
		g.Expect(kv.chunks()).To(Equal(1))
		h, _, err := s.Head(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		it, c, err := s.Load(context.Background(), h)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(it).To(Equal(r.Item))
		g.Expect(c).To(Equal(r.Config))
		if last.Revision > 0 {
			_, _, err = s.Load(context.Background(), last)
			g.Expect(err).To(MatchError(ErrReplaced))
		}
		last = h
	}
}

// Guards against a truncated configuration of several chunks, and against an apply that is aborted after one lost reply.
func TestAcceptWritesChunks(t *testing.T) {
	g := NewWithT(t)
	kv := newFakeKV()
	p := proposal(0, "x")
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		name := fmt.Sprintf("%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64())
		p.Config.Customers = append(p.Config.Customers, state.Customer{Name: state.CustomerName(name), Plan: "p"})
	}
	lost := 1
	kv.after = func(r storeapi.CASRequest) error {
		if lost--; lost == 0 {
			return ErrUncertain
		}
		return nil
	}
	s := newTestStore(kv, nil)
	r, err := s.Accept(context.Background(), p)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kv.chunks()).To(BeNumerically(">", 1))
	it, _, err := s.Load(context.Background(), kv.head())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(it.Digest).To(Equal(r.Item.Digest))
}

// Guards against one of two concurrent applies overwriting the other, and against a repeated request running twice.
func TestAcceptReportsConflictAndRepeat(t *testing.T) {
	g := NewWithT(t)
	kv := newFakeKV()
	s := newTestStore(kv, nil)
	first, err := s.Accept(context.Background(), proposal(0, "x"))
	g.Expect(err).NotTo(HaveOccurred())
	again, err := s.Accept(context.Background(), proposal(0, "x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Revision).To(Equal(first.Revision))

	// Runs another apply between the read and the write of the head.
	kv.before = func(r storeapi.CASRequest) error {
		if r.Key == configcodec.KeyHead {
			kv.before = nil
			_, err := s.Accept(context.Background(), proposal(1, "y"))
			return err
		}
		return nil
	}
	for _, base := range []state.Revision{1, 1, 9} {
		_, err = s.Accept(context.Background(), proposal(base, "z"))
		var conflict *ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Head.Revision).To(Equal(state.Revision(2)))
		g.Expect(kv.chunks()).To(Equal(1))
	}
}

// Guards against a result of an apply that contradicts what the store holds in the end, after the reply to the write was lost.
func TestAcceptSettlesLostReply(t *testing.T) {
	competingApply := func(kv *fakeKV) func(storeapi.CASRequest) error {
		done := false
		return func(r storeapi.CASRequest) error {
			if r.Key != configcodec.KeyHead || done {
				return nil
			}
			done = true
			_, err := newTestStore(kv, nil).Accept(context.Background(), proposal(kv.head().Revision, "other"))
			if err != nil {
				return err
			}
			return errors.Wrap(ErrUncertain, "reply lost")
		}
	}
	for name, c := range map[string]struct {
		fault func(*fakeKV)
		want  any // state.Revision, or the error
		head  state.Revision
	}{
		"took effect":                  {func(kv *fakeKV) { kv.after = failHeadWrites(1, ErrUncertain) }, state.Revision(1), 1},
		"did not take effect":          {func(kv *fakeKV) { kv.before = failHeadWrites(2, ErrUncertain) }, state.Revision(1), 1},
		"took effect and was replaced": {func(kv *fakeKV) { kv.after = competingApply(kv) }, state.Revision(1), 2},
		"another apply came first":     {func(kv *fakeKV) { kv.before = competingApply(kv) }, &ConflictError{}, 1},
		"store rejected it":            {func(kv *fakeKV) { kv.before = failHeadWrites(1, ErrUnavailable) }, ErrUnavailable, 0},
		"not settled in time": {func(kv *fakeKV) {
			kv.after = func(r storeapi.CASRequest) error {
				if r.Key != configcodec.KeyHead {
					return nil
				}
				kv.readErr = ErrUnavailable
				return ErrUncertain
			}
		}, ErrUncertain, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			kv := newFakeKV()
			c.fault(kv)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newTestStore(kv, nil)
			if c.want == any(ErrUncertain) {
				s = newTestStore(kv, cancel)
			}
			r, err := s.Accept(ctx, proposal(0, "mine"))
			switch want := c.want.(type) {
			case state.Revision:
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.Revision).To(Equal(want))
			case *ConflictError:
				g.Expect(errors.As(err, &want)).To(BeTrue())
			case error:
				g.Expect(err).To(MatchError(want))
			}
			g.Expect(kv.head().Revision).To(Equal(c.head))
			if kv.readErr = nil; c.head > 0 {
				_, _, err = s.Load(context.Background(), kv.head())
				g.Expect(err).NotTo(HaveOccurred())
			}
		})
	}
}

func (f *fakeKV) head() configcodec.Head {
	h, err := configcodec.DecodeHead(f.entries[configcodec.KeyHead].Value)
	if err != nil {
		return configcodec.Head{}
	}
	return h
}
