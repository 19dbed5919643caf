package main

import (
	"context"
	"crypto/rand"
	"os/user"

	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
	"azurebridge/transport/platform"
)

// applyCmd submits the three files as the next configuration.
type applyCmd struct {
	fileFlags
	Base     int64    `help:"Revision that the files were made from; by default the one that the deployment file names, or 0 for a first configuration." default:"-1"`
	Store    string   `help:"Address of the store, host:port, for a first configuration without a running instance; takes precedence over --instance."`
	Instance []string `help:"Operators' interface of an instance, host:port; may be given several times." env:"AZB_INSTANCE"`
	Keys     string   `help:"Folder with NAME.pem, NAME.key and authority.pem; required with --instance." env:"AZB_KEYS" type:"path"`
	As       string   `help:"NAME of the operator's certificate." default:"operator"`
}

// Run checks and applies the files, through an instance or directly to the store, and prints the accepted revision.
func (a *applyCmd) Run(p *printer) error {
	text, cfg, err := a.read()
	if err != nil {
		return err
	}
	base := cfg.Revision
	if a.Base >= 0 {
		base = state.Revision(a.Base)
	}
	if a.Store != "" {
		return a.toStore(p, cfg, base)
	}
	if len(a.Instance) == 0 || a.Keys == "" {
		return &inputError{errors.New("apply needs --instance with --keys, or --store")}
	}
	r := instanceFlags{Instance: a.Instance, Keys: a.Keys, As: a.As, Timeout: changeTimeout}
	c, err := r.client()
	if err != nil {
		return err
	}
	var accepted operatorapi.Accepted
	if err := c.post(operatorapi.PathConfig, newApplyRequest(text, base), &accepted); err != nil {
		return err
	}
	return p.accepted(accepted)
}

func newApplyRequest(text planfile.Text, base state.Revision) operatorapi.Apply {
	return operatorapi.Apply{Base: base, Request: rand.Text(), Files: text}
}

// toStore writes the configuration directly to the store. Running instances receive it from the readers of their region, the
// instances that watch the store.
func (a *applyCmd) toStore(p *printer, cfg *state.Config, base state.Revision) error {
	author := "azb-ctl"
	if u, err := user.Current(); err == nil {
		author = u.Username
	}
	store := platform.NewConfigStore(platform.New(a.Store))
	r, err := store.Accept(context.Background(), platform.Proposal{Config: cfg, Base: base, Author: author, Request: rand.Text()})
	if err != nil {
		return err
	}
	return p.accepted(operatorapi.Accepted{Revision: r.Revision})
}
