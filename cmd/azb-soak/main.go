// Command azb-soak runs azb-front as separate processes on this machine, injects faults from outside them, and checks what
// callers and backend servers see. The store and the backend servers are stand-ins in its own process; proxies on the
// loopback address disturb connections, and signals stop, pause and kill processes. A seed determines the faults.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes. Wrong arguments exit with 80, the code of kong.
const (
	exitViolations = 1 // a promise was broken
	exitError      = 2 // the list of seeds is malformed, or the deployment did not start
)

var cli struct {
	Front  string        `help:"Binary of azb-front." default:"bin/azb-front" type:"path"`
	Seed   uint64        `help:"First seed; 0 takes one from the clock."`
	Seeds  int           `help:"Number of seeds, one after the other." default:"1"`
	Known  bool          `help:"Run the seeds of seeds.txt first."`
	Length time.Duration `help:"Duration of each seed. Faults begin only after its first 2 s and before its last 13 s." default:"40s"`
	Dir    string        `help:"Directory for settings and logs; those of a seed that broke a promise are kept." default:"out/soak" type:"path"`
	Counts bool          `help:"Check only what does not depend on time."`
}

func main() {
	kong.Parse(&cli, kong.Description("Runs azb-front under faults and checks its promises. Exits 0 only if none was broken."))
	seed := cli.Seed
	if seed == 0 {
		const span = 1 << 40
		seed = uint64(time.Now().UnixNano()) % span
	}
	var list []knownSeed
	if cli.Known {
		var err error
		if list, err = knownSeeds(seedFile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitError)
		}
	}
	for n := range uint64(max(0, cli.Seeds)) {
		list = append(list, knownSeed{Seed: seed + n, Length: cli.Length})
	}
	failedSeeds := 0
	for _, s := range list {
		violations, err := runSeed(s.Seed, s.Length, cli.Front, cli.Dir, !cli.Counts)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitError)
		}
		if len(violations) > 0 {
			failedSeeds++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise\n", failedSeeds, len(list))
	if failedSeeds > 0 {
		os.Exit(exitViolations)
	}
}

// runSeed runs the faults of one seed against a new deployment, prints a summary line, and returns the promises that were
// broken. It removes dir first.
func runSeed(seed uint64, length time.Duration, binary, dir string, timed bool) ([]string, error) {
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Wrap(err, "clear directory")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	tb, err := newTestbed(binary, dir)
	defer tb.close()
	if err != nil {
		return nil, err
	}
	steps := newPlan(seed, length)
	tb.run(seed, length, steps)
	violations := tb.check(timed)
	served := 0
	for _, c := range tb.callers.calls {
		if c.ok() {
			served++
		}
	}
	fmt.Printf("seed %d: %d steps, %d calls, %d served, %d stalls of azb-soak, %d broken promises\n",
		seed, len(steps), len(tb.callers.calls), served, len(tb.stalls.spans), len(violations))
	if len(violations) == 0 {
		return nil, nil
	}
	const maxPrinted = 10
	for _, line := range violations[:min(maxPrinted, len(violations))] {
		fmt.Println("  " + line)
	}
	for _, s := range steps {
		fmt.Printf("  step at %v for %v: %s, target %d, variant %d\n", s.At, s.For, s.Fault, s.Target, s.Variant)
	}
	fmt.Println("  logs: " + keepLogs(dir, seed))
	return violations, nil
}
