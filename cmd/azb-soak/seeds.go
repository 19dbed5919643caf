package main

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// knownSeed is a line of seeds.txt: a seed that is run again.
type knownSeed struct {
	Seed   uint64
	Length time.Duration
	CI     bool   // run by the test of this package
	Found  string // the fault that the seed found, or "no fault"
}

//go:embed seeds.txt
var seedFile string

// knownSeeds parses the list of seeds.
func knownSeeds(file string) ([]knownSeed, error) {
	var out []knownSeed
	for n, line := range strings.Split(strings.TrimSpace(file), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var s knownSeed
		var length, where string
		if _, err := fmt.Sscan(line, &s.Seed, &length, &where); err != nil {
			return nil, errors.Wrapf(err, "seeds, line %d", n+1)
		}
		var err error
		if s.Length, err = time.ParseDuration(length); err != nil {
			return nil, errors.Wrapf(err, "seeds, line %d", n+1)
		}
		s.CI = where == "ci"
		s.Found = strings.Join(strings.Fields(line)[3:], " ")
		out = append(out, s)
	}
	return out, nil
}
