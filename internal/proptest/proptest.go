// Package proptest sets up property tests so that a run without settings always tries the same cases.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed makes the verdict of CI the same every time.
const defaultSeed = "20261204"

// Environment variables by which scripts/prove.sh asks for more cases and another seed.
const (
	envSeed   = "AZB_PROPERTY_SEED"
	envChecks = "AZB_PROPERTY_CHECKS"
)

// shrinkTime bounds the search for a smaller failing case.
const shrinkTime = "5s"

// Main runs the tests of a package with a fixed seed and the given number of cases for each property, of which those
// that repeat actions take up to steps of them. Call it from TestMain. Flags on the command line win.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	set("rapid.seed", envOr(envSeed, defaultSeed))
	set("rapid.checks", envOr(envChecks, strconv.Itoa(checks)))
	set("rapid.steps", strconv.Itoa(steps))
	set("rapid.shrinktime", shrinkTime)
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}
