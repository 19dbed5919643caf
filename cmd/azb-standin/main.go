// Command azb-standin stands in for the systems around azurebridge: the platform's store and list of instances, and
// backend servers.
package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/protocol/planfile"
	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
	"azurebridge/state"
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
	ledger := standin.NewLedger()
	index := state.NewIndex(deployment)
	for i := range deployment.Backends {
		b := &deployment.Backends[i]
		s := cfg.Services[string(b.Service)]
		if err := listen(b.Address.String(), standin.NewBackend(b, index.Service[b.Service], ledger, s.Work, s.Size)); err != nil {
			return err
		}
	}
	platform := http.NewServeMux()
	platform.Handle("/v1/", standin.NewStore(time.Now).Handler())
	platform.Handle("GET "+storeapi.PathInstances, standin.NewInstances(cfg.Instances))
	if err := listen(cfg.Platform.String(), platform); err != nil {
		return err
	}
	control := http.NewServeMux()
	control.Handle("GET /v1/ledger", ledger)
	if err := listen(cfg.Control.String(), control); err != nil {
		return err
	}
	log.Info("stand-ins started", "backend_servers", len(deployment.Backends), "instances", len(cfg.Instances))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func listen(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(ln) }()
	return nil
}
