// Command azb-entry runs on each entry instance: it answers look-ups and forwards callers' requests to backend servers.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// exitError is the exit code of every failed run: invalid settings, or a server that failed. Wrong arguments exit with 80, the
// code of kong.
const exitError = 2

var cli struct {
	Config string `help:"Settings file (INI)." required:"" type:"path"`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	kong.Parse(&cli, kong.Description("Entry instance of the azurebridge traffic steering system."))
	if err := run(cli.Config, cli.Check); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitError)
	}
}
