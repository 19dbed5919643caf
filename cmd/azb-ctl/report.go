package main

import (
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/reportview"
	"azurebridge/state/report"
)

// Limits of --watch: the min time between samples and the max number of samples.
const (
	minEvery   = 200 * time.Millisecond
	maxSamples = 3600
)

// reportCmd shows the steering report of the whole fleet.
type reportCmd struct {
	instanceFlags
	Wait  time.Duration `help:"Longest wait of the instance for the others." default:"1s"`
	HTML  string        `help:"Write a page with charts to this file instead." type:"path" name:"html"`
	Watch time.Duration `help:"Sample the report for this long; the page then also shows it over time. Needs --html."`
	Every time.Duration `help:"Time between samples." default:"1s"`
}

// Run fetches the report once, or repeatedly with --watch, and writes it.
func (r *reportCmd) Run(p *printer) error {
	if r.Watch > 0 && (r.HTML == "" || r.Every < minEvery || r.Watch/r.Every > maxSamples) {
		return &inputError{errors.Errorf("--watch needs --html, --every of at least %s, and at most %d samples", minEvery, maxSamples)}
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	last, err := r.get(c)
	if err != nil {
		return err
	}
	if r.HTML == "" {
		if p.json {
			return p.writeJSON(p.out, last)
		}
		return reportview.Text(p.out, last)
	}
	return r.write(r.sample(c, p, last))
}

func (r *reportCmd) get(c *client) (*report.Report, error) {
	out := &report.Report{}
	return out, c.get(operatorapi.PathReport+"?wait="+url.QueryEscape(r.Wait.String()), out)
}

// sample fetches the report repeatedly until the time of --watch has passed. A sample that fails is reported and skipped.
func (r *reportCmd) sample(c *client, p *printer, first *report.Report) []*report.Report {
	samples := []*report.Report{first}
	if r.Watch <= 0 {
		return samples
	}
	tick := time.NewTicker(r.Every)
	defer tick.Stop()
	for end := time.Now().Add(r.Watch); time.Now().Before(end); {
		<-tick.C
		s, err := r.get(c)
		if err != nil {
			fmt.Fprintln(p.err, "azb-ctl: report failed; sample skipped: "+err.Error())
			continue
		}
		samples = append(samples, s)
	}
	return samples
}

func (r *reportCmd) write(samples []*report.Report) error {
	f, err := os.Create(r.HTML)
	if err != nil {
		return &inputError{errors.Wrap(err, "write page")}
	}
	err = reportview.HTML(f, samples)
	if closeErr := f.Close(); err == nil {
		err = errors.Wrap(closeErr, "write page")
	}
	return err
}
