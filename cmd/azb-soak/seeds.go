package main

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// knownSeed is a seed that is played again.
type knownSeed struct {
	Seed   uint64
	Length time.Duration
	CI     bool   // played by the test of the package
	Found  string // what it found
}

//go:embed seeds.txt
var seedFile string

// knownSeeds reads the list of seeds.
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
