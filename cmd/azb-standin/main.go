// Command azb-standin stands in for the systems around azurebridge: the platform's store and list of instances, and
// backend servers.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"azurebridge/protocol/planfile"
	"azurebridge/protocol/settings"
	"azurebridge/transport/standin"
)

var cli struct {
	Config string `help:"Settings file (INI)." required:"" type:"path"`
}

func main() {
	kong.Parse(&cli, kong.Description("Stand-ins for the store, the list of instances and backend servers."))
	if err := run(cli.Config); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(2)
	}
}

func run(path string) error {
	cfg, err := settings.LoadStandin(path)
	if err != nil {
		return err
	}
	deployment, err := planfile.ReadDeployment(cfg.Deployment)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true})
	s := standin.New(cfg, deployment, time.Now)
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	log.Info("stand-ins started", "backend_servers", len(deployment.Backends), "instances", len(cfg.Instances))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
