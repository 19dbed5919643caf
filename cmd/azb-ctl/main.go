// Command azb-ctl is the operators' tool of azurebridge.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"azurebridge/protocol/inifile"
	"azurebridge/protocol/operatorapi"
	"azurebridge/transport/platform"
)

const (
	exitFailed   = 1 // the command failed; nothing was changed
	exitInput    = 2 // wrong arguments or files
	exitConflict = 3 // another change was accepted first; nothing was changed
	exitUnknown  = 4 // the change may or may not have been accepted
)

// cli is the command line.
type cli struct {
	Output string `help:"Form of the output: table or json." enum:"table,json" default:"table" short:"o"`

	Keys     keysCmd     `cmd:"" help:"Make a fleet authority and certificates."`
	Validate validateCmd `cmd:"" help:"Check the three files without any instance."`
	Diff     diffCmd     `cmd:"" help:"Show what applying the files would change."`
	Apply    applyCmd    `cmd:"" help:"Make the files the next accepted configuration."`
	Get      getCmd      `cmd:"" help:"Write the accepted configuration as files that apply takes."`
	Drain    drainCmd    `cmd:"" help:"Give a backend server, failure domain or region no new requests."`
	Undrain  undrainCmd  `cmd:"" help:"End a drain."`
	Cap      capCmd      `cmd:"" help:"Set or end the cap of a shift of traffic between two regions."`
	Wait     waitCmd     `cmd:"" help:"Wait until a revision is in force at all given instances."`
	Status   statusCmd   `cmd:"" help:"Show a summary of an instance's view."`
	Report   reportCmd   `cmd:"" help:"Show the steering report of the whole fleet."`
	Dump     dumpCmd     `cmd:"" help:"Print the control state of an instance as JSON."`
}

func main() { os.Exit(run(os.Args[1:], newPrinter(os.Stdout, os.Stderr))) }

// run executes the command line and returns the exit code.
func run(args []string, p *printer) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("azb-ctl"), kong.Description("Operators' tool of azurebridge.\n\n"+
		"Exit codes: 0 done, 1 failed, 2 wrong input, 3 conflict with another change, 4 outcome unknown."),
		kong.Writers(p.out, p.err), kong.Bind(p))
	if err != nil {
		p.failure(err)
		return exitFailed
	}
	k, err := parser.Parse(args)
	if err != nil {
		p.failure(err)
		return exitInput
	}
	p.json = c.Output == "json"
	if err := k.Run(); err != nil {
		p.failure(err)
		return exitCode(err)
	}
	return 0
}

// exitCode returns the exit code for an error's cause.
func exitCode(err error) int {
	var (
		apiErr   *operatorapi.Error
		problems inifile.Problems
		conflict *platform.ConflictError
		input    *inputError
	)
	switch {
	case errors.As(err, &apiErr) && apiErr.Kind == operatorapi.ErrorInvalid, errors.As(err, &problems), errors.As(err, &input):
		return exitInput
	case errors.As(err, &conflict), apiErr != nil && apiErr.Kind == operatorapi.ErrorConflict:
		return exitConflict
	case errors.Is(err, platform.ErrUncertain), apiErr != nil && apiErr.Kind == operatorapi.ErrorUnknown:
		return exitUnknown
	}
	return exitFailed
}

// inputError marks an error of the arguments or files that is not a problem inside an INI file.
type inputError struct{ error }
