package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
)

// fileFlags are the flags that select the three configuration files.
type fileFlags struct {
	Folder     string `help:"Folder of deployment.ini, plans.ini and customers.ini." type:"path" default:"."`
	Deployment string `help:"Deployment file, in place of the folder's." type:"path"`
	Plans      string `help:"List of plans, in place of the folder's." type:"path"`
	Customers  string `help:"List of customers, in place of the folder's." type:"path"`
}

func (f *fileFlags) files() planfile.Files {
	pick := func(path, name string) string {
		if path != "" {
			return path
		}
		return filepath.Join(f.Folder, name)
	}
	return planfile.Files{
		Deployment: pick(f.Deployment, operatorapi.FileDeployment),
		Plans:      pick(f.Plans, operatorapi.FilePlans),
		Customers:  pick(f.Customers, operatorapi.FileCustomers),
	}
}

// read loads and checks the files before anything is sent, so that problems are reported with the operator's file names.
func (f *fileFlags) read() (planfile.Text, *state.Config, error) {
	files := f.files()
	text, err := planfile.Load(files)
	if err != nil {
		return text, nil, &inputError{err}
	}
	cfg, err := planfile.Parse(files, text)
	return text, cfg, err
}

// validateCmd checks the three files without contacting an instance.
type validateCmd struct {
	fileFlags
}

// Run checks the files and prints the number of entries of each kind.
func (v *validateCmd) Run(p *printer) error {
	_, cfg, err := v.read()
	if err != nil {
		return err
	}
	counts := map[string]int{
		"regions": len(cfg.Regions), "links": len(cfg.Links), "services": len(cfg.Services), "backends": len(cfg.Backends),
		"plans": len(cfg.Plans), "customers": len(cfg.Customers), "drains": len(cfg.Drains), "shifts": len(cfg.Shifts),
	}
	return p.result(counts, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d regions, %d backend servers, %d plans, %d customers\n",
			len(cfg.Regions), len(cfg.Backends), len(cfg.Plans), len(cfg.Customers))
	})
}

// diffCmd compares the three files with the accepted configuration.
type diffCmd struct {
	fileFlags
	instanceFlags
}

// Run prints the changes that applying the files would make.
func (d *diffCmd) Run(p *printer) error {
	_, mine, err := d.read()
	if err != nil {
		return err
	}
	c, err := d.client()
	if err != nil {
		return err
	}
	accepted, err := fetchConfig(c)
	if err != nil {
		return err
	}
	theirs, err := planfile.Parse(operatorapi.Files(), accepted.Files)
	if err != nil && accepted.Revision > 0 {
		return errors.Wrap(err, "accepted configuration")
	}
	if theirs == nil {
		theirs = &state.Config{}
	}
	changes := state.Diff(theirs, mine)
	return p.result(changes, func(w io.Writer) { writeChanges(w, changes) })
}

func fetchConfig(c *client) (operatorapi.Config, error) {
	var cfg operatorapi.Config
	err := c.get(operatorapi.PathConfig, &cfg)
	return cfg, err
}

// getCmd fetches the accepted configuration.
type getCmd struct {
	instanceFlags
	Folder string `help:"Folder to write deployment.ini, plans.ini and customers.ini to; without it they are printed." type:"path"`
}

// Run writes the files to the folder, or prints them when no folder is given.
func (g *getCmd) Run(p *printer) error {
	c, err := g.client()
	if err != nil {
		return err
	}
	cfg, err := fetchConfig(c)
	if err != nil {
		return err
	}
	parts := []struct{ name, text string }{
		{operatorapi.FileDeployment, cfg.Files.Deployment}, {operatorapi.FilePlans, cfg.Files.Plans}, {operatorapi.FileCustomers, cfg.Files.Customers},
	}
	if g.Folder == "" {
		if p.json {
			return p.writeJSON(p.out, cfg)
		}
		for _, part := range parts {
			if _, err := fmt.Fprintf(p.out, "; %s\n%s\n", part.name, part.text); err != nil {
				return errors.Wrap(err, "write output")
			}
		}
		return nil
	}
	if err := os.MkdirAll(g.Folder, 0o755); err != nil {
		return errors.Wrap(err, "write files")
	}
	for _, part := range parts {
		if err := os.WriteFile(filepath.Join(g.Folder, part.name), []byte(part.text), 0o644); err != nil {
			return errors.Wrap(err, "write files")
		}
	}
	return p.result(map[string]any{"revision": cfg.Revision, "folder": g.Folder}, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d written to %s\n", cfg.Revision, g.Folder)
	})
}
