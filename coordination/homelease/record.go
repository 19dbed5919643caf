package homelease

import (
	"slices"
	"sort"

	"azurebridge/state"
)

// MaxWitnesses is the size of a complete set of witnesses. Of five, four belong to the region and one to another, so
// that the loss of one of two failure domains leaves three.
const MaxWitnesses = 5

// Record names the witnesses of a region. Number is its version in the store; 0 stands for an absent record.
type Record struct {
	Region    state.RegionName
	Number    uint64
	Witnesses []state.InstanceName
}

// Key returns the store's key of a region's record.
func Key(region state.RegionName) string { return "home/" + string(region) }

// Quorum returns the number of witnesses that form a majority.
func (r *Record) Quorum() int { return len(r.Witnesses)/2 + 1 }

// Has reports whether the instance is a witness.
func (r *Record) Has(name state.InstanceName) bool { return slices.Contains(r.Witnesses, name) }

// Without returns the record without one witness, under the same number.
func (r *Record) Without(name state.InstanceName) Record {
	next := Record{Region: r.Region, Number: r.Number}
	for _, w := range r.Witnesses {
		if w != name {
			next.Witnesses = append(next.Witnesses, w)
		}
	}
	return next
}

// With returns the record with one more witness, under the same number.
func (r *Record) With(name state.InstanceName) Record {
	return Record{Region: r.Region, Number: r.Number, Witnesses: append(slices.Clone(r.Witnesses), name)}
}

// ChooseWitnesses returns the first record of a region, with witnesses from the live instances.
func ChooseWitnesses(region state.RegionName, instances []state.Instance) Record {
	r := Record{Region: region}
	for len(r.Witnesses) < MaxWitnesses {
		next := NextWitness(&r, instances)
		if next == "" {
			break
		}
		r = r.With(next)
	}
	return r
}

// NextWitness returns the live instance to add to the set, or "" if there is none: up to four of the region, each from the
// failure domain with the fewest witnesses, and one of another region.
func NextWitness(r *Record, instances []state.Instance) state.InstanceName {
	domains := make(map[state.DomainName]int)
	var own, foreign int
	for i := range instances {
		in := &instances[i]
		if !r.Has(in.Name) {
			continue
		}
		if in.Region == r.Region {
			own++
			domains[in.Domain]++
		} else {
			foreign++
		}
	}
	var best *state.Instance
	for i := range instances {
		in := &instances[i]
		if in.Status != state.InstanceLive || r.Has(in.Name) {
			continue
		}
		if in.Region == r.Region && own >= MaxWitnesses-1 || in.Region != r.Region && (foreign > 0 || own == 0) {
			continue
		}
		if best == nil || better(r.Region, domains, in, best) {
			best = in
		}
	}
	if best == nil {
		return ""
	}
	return best.Name
}

// better reports whether a is the better witness: instances of the region precede others, then those of the failure
// domain with fewer witnesses, then those with the higher rendezvous score.
func better(region state.RegionName, domains map[state.DomainName]int, a, b *state.Instance) bool {
	if (a.Region == region) != (b.Region == region) {
		return a.Region == region
	}
	if da, db := domains[a.Domain], domains[b.Domain]; a.Region == region && da != db {
		return da < db
	}
	return score(region, a.Name) > score(region, b.Name)
}

func score(region state.RegionName, name state.InstanceName) uint64 {
	return state.RendezvousScore(string(region), string(name))
}

// SortCandidates sorts names in the order in which the instances become candidates for home of the region.
func SortCandidates(region state.RegionName, names []state.InstanceName) {
	sort.Slice(names, func(i, j int) bool { return score(region, names[i]) > score(region, names[j]) })
}
