// Package blocksfile reads client blocks, which assign address prefixes to regions, from CSV lines `prefix,region` or
// `prefix,region,site`. A site belongs to one region; without a site, the site has the name of the region. Lines that
// begin with # are comments.
package blocksfile

import (
	"encoding/csv"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"

	"azurebridge/state"
	"azurebridge/state/blocks"
)

// Bounds of a file.
const (
	MaxSites   = 1<<16 - 1
	batchLines = 1 << 14 // blocks added to the table at once; bounds the memory used besides the table
)

// Load reads the blocks of a file.
func Load(path string) (*blocks.Regions, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read client blocks")
	}
	defer func() { _ = f.Close() }() // the file was only read
	r, err := Read(f)
	return r, errors.Wrapf(err, "read client blocks %s", path)
}

// Read reads blocks until the end of r. Later lines override earlier ones where their blocks overlap. Errors name the line.
func Read(r io.Reader) (*blocks.Regions, error) {
	in := csv.NewReader(r)
	in.ReuseRecord, in.Comment, in.FieldsPerRecord, in.TrimLeadingSpace = true, '#', -1, true
	l := loader{table: blocks.New(), sites: make(map[string]blocks.Site), regions: []state.RegionName{""}}
	for {
		fields, err := in.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if err := l.addLine(fields); err != nil {
			line, _ := in.FieldPos(0)
			return nil, errors.Wrapf(err, "line %d", line)
		}
	}
	if err := l.flush(); err != nil {
		return nil, err
	}
	return blocks.NewRegions(l.table, l.regions), nil
}

// loader collects the blocks and sites of a file. Blocks wait in batch until flush adds them to the table.
type loader struct {
	table   *blocks.Table
	batch   []blocks.Block
	sites   map[string]blocks.Site
	regions []state.RegionName // by site
}

func (l *loader) addLine(fields []string) error {
	if len(fields) < 2 || len(fields) > 3 || fields[1] == "" {
		return errors.New("want prefix,region or prefix,region,site")
	}
	prefix, err := netip.ParsePrefix(fields[0])
	if err != nil {
		return errors.WithStack(err)
	}
	site, err := l.siteOf(fields)
	if err != nil {
		return err
	}
	l.batch = append(l.batch, blocks.Block{Prefix: prefix, Site: site})
	if len(l.batch) < batchLines {
		return nil
	}
	return l.flush()
}

func (l *loader) siteOf(fields []string) (blocks.Site, error) {
	name := fields[len(fields)-1]
	if s, ok := l.sites[name]; ok {
		if string(l.regions[s]) != fields[1] {
			return 0, errors.Errorf("site %s is in region %s and in region %s", name, l.regions[s], fields[1])
		}
		return s, nil
	}
	if len(l.regions) > MaxSites {
		return 0, errors.Errorf("more than %d sites", MaxSites)
	}
	s := blocks.Site(len(l.regions))
	l.regions = append(l.regions, state.RegionName(strings.Clone(fields[1])))
	l.sites[strings.Clone(name)] = s
	return s, nil
}

func (l *loader) flush() error {
	t, err := l.table.With(l.batch)
	if err != nil {
		return err
	}
	l.table, l.batch = t, l.batch[:0]
	return nil
}
