// Command azb-ctl is the operators' tool of azurebridge.
package main

import (
	"github.com/alecthomas/kong"
)

var cli struct {
	Keys  keysCmd  `cmd:"" help:"Make a fleet authority and certificates."`
	Apply applyCmd `cmd:"" help:"Apply the deployment and the operators' two lists."`
}

func main() {
	k := kong.Parse(&cli, kong.Name("azb-ctl"), kong.Description("Operators' tool of azurebridge."))
	k.FatalIfErrorf(k.Run())
}
