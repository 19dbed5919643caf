// Package inifile reads INI files strictly: every unknown section or key, missing value, missing unit and value out of
// range is collected, so that one run reports all of them with file, section and key.
package inifile

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxFileSize bounds an INI file, in bytes.
const MaxFileSize = 8 << 20

// Problem is one error in a file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// String returns the problem on one line, with file, section and key.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Reason)
}

// Problems is an error that lists all problems of one or more files.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is an INI file being read.
type File struct {
	name     string
	ini      *ini.File
	used     map[string]map[string]bool // sections and their keys that have been read
	problems Problems
}

// Load reads a file from disk. It fails when the file cannot be read, is larger than MaxFileSize or is not INI.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > MaxFileSize {
		return nil, errors.Errorf("read settings %s: %d bytes, limit is %d", path, info.Size(), MaxFileSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads a file from memory; name is used in error messages.
func Parse(name string, data []byte) (*File, error) {
	// By default the library lets a section [a.b] inherit the keys of [a]. A delimiter that no section name holds, NUL,
	// prevents this.
	options := ini.LoadOptions{AllowNonUniqueSections: true, ChildSectionDelimiter: "\x00"}
	f, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, errors.Wrapf(err, "parse %s", name)
	}
	return &File{name: name, ini: f, used: make(map[string]map[string]bool)}, nil
}

// Section returns the section of that name, which is empty if the file does not have it. A repeated section is a problem.
func (f *File) Section(name string) *Section {
	list, err := f.ini.SectionsByName(name)
	if err != nil || len(list) == 0 {
		empty, newErr := ini.Empty().NewSection(name)
		if newErr != nil {
			f.addProblem(name, "", newErr.Error())
		}
		return &Section{file: f, name: name, ini: empty, absent: true}
	}
	if len(list) > 1 {
		f.addProblem(name, "", "section is given more than once")
	}
	f.markUsed(name, "")
	return &Section{file: f, name: name, ini: list[0]}
}

// NamedSections returns the sections `[kind name]` in file order, each with its name as Label. A repeated name is a problem.
func (f *File) NamedSections(kind string) []*Section {
	var out []*Section
	seen := make(map[string]bool)
	for _, s := range f.ini.Sections() {
		name, ok := strings.CutPrefix(s.Name(), kind+" ")
		if !ok {
			continue
		}
		f.markUsed(s.Name(), "")
		name = strings.TrimSpace(name)
		if seen[name] {
			f.addProblem(s.Name(), "", "duplicate "+kind)
			continue
		}
		seen[name] = true
		out = append(out, &Section{file: f, name: s.Name(), Label: name, ini: s})
	}
	return out
}

// Err returns all problems, among them unknown sections and keys, or nil. Call it after everything has been read.
func (f *File) Err() error {
	problems := append(Problems(nil), f.problems...)
	for _, s := range f.ini.Sections() {
		keys := f.used[s.Name()]
		if keys == nil {
			if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
				continue
			}
			problems = append(problems, Problem{f.name, s.Name(), "", "unknown section"})
			continue
		}
		for _, k := range s.Keys() {
			if !keys[k.Name()] {
				problems = append(problems, Problem{f.name, s.Name(), k.Name(), "unknown key"})
			}
		}
	}
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Section < problems[j].Section })
	return problems
}

func (f *File) addProblem(section, key, reason string) {
	f.problems = append(f.problems, Problem{f.name, section, key, reason})
}

func (f *File) markUsed(section, key string) {
	if f.used[section] == nil {
		f.used[section] = make(map[string]bool)
	}
	if key != "" {
		f.used[section][key] = true
	}
}

// Section is one section being read. Its methods return the default for an absent key. For an invalid value they record a problem
// and return the default too.
type Section struct {
	Label  string // name after the kind, in sections from NamedSections
	file   *File
	name   string
	ini    *ini.Section
	absent bool
}

// Present reports whether the file has the section.
func (s *Section) Present() bool { return !s.absent }

// Problem records a problem that the caller has found. The key is empty when the whole section is at fault.
func (s *Section) Problem(key, reason string) { s.file.addProblem(s.name, key, reason) }

func (s *Section) lookup(key string) (string, bool) {
	s.file.markUsed(s.name, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// Required returns a value that must be present and not empty.
func (s *Section) Required(key string) string {
	v, ok := s.lookup(key)
	if !ok || v == "" {
		s.Problem(key, "value is required")
	}
	return v
}

// String returns a value, or the default when the key is absent.
func (s *Section) String(key, def string) string {
	if v, ok := s.lookup(key); ok {
		return v
	}
	return def
}

// Choice returns one of the allowed values.
func (s *Section) Choice(key, def string, allowed ...string) string {
	v := s.String(key, def)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.Problem(key, fmt.Sprintf("%q is not one of %s", v, strings.Join(allowed, ", ")))
	return def
}

// List returns a comma-separated list without empty entries.
func (s *Section) List(key string) []string {
	v, _ := s.lookup(key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Bool returns true or false.
func (s *Section) Bool(key string, def bool) bool {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		s.Problem(key, fmt.Sprintf("%q is neither true nor false", v))
		return def
	}
	return b
}

// Int returns a whole number from minValue to maxValue.
func (s *Section) Int(key string, def, minValue, maxValue int) int {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.Problem(key, fmt.Sprintf("%q is not a whole number", v))
		return def
	}
	if n < minValue || n > maxValue {
		s.Problem(key, fmt.Sprintf("%d is not in the range %d to %d", n, minValue, maxValue))
		return def
	}
	return n
}

// Number returns a number, with or without a fraction, from minValue to maxValue.
func (s *Section) Number(key string, def, minValue, maxValue float64) float64 {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.Problem(key, fmt.Sprintf("%q is not a number", v))
		return def
	}
	if !(n >= minValue && n <= maxValue) {
		s.Problem(key, fmt.Sprintf("%v is not in the range %v to %v", n, minValue, maxValue))
		return def
	}
	return n
}

// Duration returns a duration with its unit, such as 250ms, from minValue to maxValue.
func (s *Section) Duration(key string, def, minValue, maxValue time.Duration) time.Duration {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.Problem(key, fmt.Sprintf("%q is not a duration with a unit such as 250ms or 2s", v))
		return def
	}
	if d < minValue || d > maxValue {
		s.Problem(key, fmt.Sprintf("%s is not in the range %s to %s", d, minValue, maxValue))
		return def
	}
	return d
}

// Percent returns a percentage from 0 to 100 with its sign, such as 12.5%.
func (s *Section) Percent(key string, def float64) float64 {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	p, err := ParsePercent(v)
	if err != nil {
		s.Problem(key, err.Error())
		return def
	}
	return p
}

// ParsePercent parses a percentage from 0 to 100, such as 12.5%.
func ParsePercent(v string) (float64, error) {
	digits, ok := strings.CutSuffix(v, "%")
	p, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if !ok || err != nil {
		return 0, errors.Errorf("%q is not a percentage such as 12.5%%", v)
	}
	if !(p >= 0 && p <= 100) {
		return 0, errors.Errorf("%s is not in the range 0%% to 100%%", v)
	}
	return p, nil
}

// rateUnits are the units of Rate in bytes per second, longest name first.
var rateUnits = []struct {
	name  string
	bytes float64
}{
	{"Gbit/s", 125e6}, {"Mbit/s", 125e3}, {"kbit/s", 125}, {"MB/s", 1e6}, {"kB/s", 1e3}, {"B/s", 1},
}

// Rate returns a rate from 0 to maxValue in bytes per second. It is written with a unit, such as 4Gbit/s or 300kB/s.
func (s *Section) Rate(key string, def, maxValue int64) int64 {
	v, ok := s.lookup(key)
	if !ok {
		return def
	}
	for _, u := range rateUnits {
		digits, ok := strings.CutSuffix(v, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil {
			break
		}
		if rate := n * u.bytes; rate >= 0 && rate <= float64(maxValue) {
			return int64(rate)
		}
		s.Problem(key, fmt.Sprintf("%s is not in the range 0 to %d bytes per second", v, maxValue))
		return def
	}
	s.Problem(key, fmt.Sprintf("%q is not a rate with a unit such as 4Gbit/s or 300kB/s", v))
	return def
}

// HostPort returns a required IP address with port, or the zero value with a problem.
func (s *Section) HostPort(key string) netip.AddrPort {
	v := s.Required(key)
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		s.Problem(key, fmt.Sprintf("%q is not an IP address with port", v))
	}
	return a
}
