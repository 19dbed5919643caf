// Command azb-load sends requests to a deployment as its callers do, checks every answer, and prints a report.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/protocol/settings"
	"azurebridge/transport/load"
)

// Exit codes. Wrong arguments exit with 80, the code of kong.
const (
	exitCheckFailed = 1 // a check of the report failed
	exitError       = 2 // invalid settings, or an error that prevented a complete report
)

var cli struct {
	Config   string        `help:"Settings file (INI)." required:"" type:"path"`
	Duration time.Duration `help:"Duration of the load; overrides the settings."`
	Seed     uint64        `help:"Seed of the arrivals; overrides the settings."`
	Wait     time.Duration `help:"Max time to wait until all entry instances are ready." default:"30s"`
	Timeline string        `help:"File to write the results in buckets of 100 ms to (CSV)." type:"path"`
	LogLevel string        `help:"Log level." enum:"trace,debug,info,warn,error" default:"info"`
}

func main() {
	kong.Parse(&cli, kong.Description("Open-loop load with a check of every answer. Exits 0 only if all checks of the report passed."))
	clean, err := run()
	switch {
	case err != nil:
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitError)
	case !clean:
		os.Exit(exitCheckFailed)
	}
}

func run() (clean bool, err error) {
	cfg, err := settings.ReadLoad(cli.Config)
	if err != nil {
		return false, err
	}
	if cli.Duration > 0 {
		cfg.Duration = cli.Duration
	}
	if cli.Seed > 0 {
		cfg.Seed = cli.Seed
	}
	cfg.Timeline = cli.Timeline != ""
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := hclog.New(&hclog.LoggerOptions{Name: "load", Level: hclog.LevelFromString(cli.LogLevel), JSONFormat: true, Output: os.Stderr})
	r := load.New(cfg, log)
	if err := r.WaitReady(ctx, cli.Wait); err != nil {
		return false, err
	}
	log.Info("all entry instances are ready", "duration", cfg.Duration.String())
	report, err := r.Run(ctx)
	if err != nil {
		return false, err
	}
	if cli.Timeline != "" {
		if err := os.WriteFile(cli.Timeline, r.Timeline(), 0o644); err != nil {
			return false, errors.Wrap(err, "write timeline")
		}
	}
	return report.Clean(), report.Write(os.Stdout)
}
