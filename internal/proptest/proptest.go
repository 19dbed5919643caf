// Package proptest configures property tests. A run without environment variables or flags always tries the same cases.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is fixed so that CI always runs the same cases.
const defaultSeed = "20261204"

// Environment variables by which scripts/prove.sh sets another seed and number of cases.
const (
	envSeed   = "AZB_PROPERTY_SEED"
	envChecks = "AZB_PROPERTY_CHECKS"
)

// shrinkTime bounds the search for a smaller failing case.
const shrinkTime = "5s"

// Main runs the tests of a package with a fixed seed. checks is the number of cases for each property, steps the average
// number of actions in properties that repeat random actions. Flags on the command line take precedence. Call it from TestMain.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	setDefault := func(name, value string) {
		if explicit[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the flag does not exist: the package does not use rapid
		}
	}
	setDefault("rapid.seed", envOr(envSeed, defaultSeed))
	setDefault("rapid.checks", envOr(envChecks, strconv.Itoa(checks)))
	setDefault("rapid.steps", strconv.Itoa(steps))
	setDefault("rapid.shrinktime", shrinkTime)
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
