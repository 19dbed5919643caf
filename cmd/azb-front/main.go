// Command azb-front is the entry instance for a platform whose store holds the routing table, the backend servers and the
// instances. It answers callers' look-ups of instances to connect to, and proxies their requests to backend servers.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"azurebridge/platform"
)

// exitError is the exit code of every failed run: invalid settings, or a server that failed. Wrong arguments exit with 80, the
// code of kong.
const exitError = 2

var cli struct {
	Config string `help:"Settings file (INI). Without it, the file that the platform names." type:"path"`
	Check  bool   `help:"Check the settings and exit."`
}

func main() {
	kong.Parse(&cli, kong.Description("Entry instance of the azurebridge traffic steering system on the platform's store."))
	path, err := cli.Config, error(nil)
	if path == "" {
		path, err = platform.SettingsPath()
	}
	if err == nil {
		err = run(path, cli.Check)
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitError)
	}
}
