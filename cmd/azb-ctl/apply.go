package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"azurebridge/protocol/planfile"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
	"azurebridge/transport/platform"
)

// applyCmd writes a configuration to the store.
type applyCmd struct {
	Store      string `help:"Address of the store, host:port." required:""`
	Deployment string `help:"Deployment file." required:"" type:"path"`
	Plans      string `help:"List of plans." required:"" type:"path"`
	Customers  string `help:"List of customers." required:"" type:"path"`
}

// Run applies the files as the next revision.
func (a *applyCmd) Run() error {
	cfg, err := planfile.Read(planfile.Files{Deployment: a.Deployment, Plans: a.Plans, Customers: a.Customers})
	if err != nil {
		return err
	}
	ctx := context.Background()
	client := platform.New(a.Store)
	head, err := client.Get(ctx, platform.KeyConfigHead)
	if err != nil {
		return err
	}
	cfg.Revision = state.Revision(head.Version + 1)
	data, err := json.Marshal(cfg)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	r, err := client.CAS(ctx, storeapi.CASRequest{Key: platform.KeyConfigHead, Value: data, Version: head.Version})
	if err != nil {
		return err
	}
	if !r.OK {
		return errors.Errorf("apply: the configuration was changed meanwhile, version is now %d", r.Current.Version)
	}
	_, err = fmt.Fprintf(os.Stdout, "revision %d accepted\n", cfg.Revision)
	return err
}
