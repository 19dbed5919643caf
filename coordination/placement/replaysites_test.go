package placement

import (
	"testing"
	"time"
)

// siteA has the shape of deployment A at a sixth of its size.
func siteA() replay {
	return replay{
		instances: 6, regions: []int{12, 12, 12}, slots: 9, queue: 27, cached: 20, objects: 100, skew: 0.9,
		kinds: []replayKind{
			{rate: 171, work: 1300 * time.Millisecond, target: time.Second, deadline: 8 * time.Second, lateValue: 0.2, priority: 2, attempts: 3},
			{rate: 60, work: 1700 * time.Millisecond, target: 1200 * time.Millisecond, deadline: 10 * time.Second, lateValue: 0.2, priority: 1, attempts: 3},
			{rate: 18, work: 1500 * time.Millisecond, target: 1200 * time.Millisecond, deadline: 10 * time.Second, lateValue: 0.2, priority: 1, attempts: 3},
		},
		slowShare: 0.03, slowFactor: 7, slowServers: 0.15, slowness: 2.5, wave: 0.55, far: 17 * time.Millisecond, length: 15 * time.Second,
	}
}

// siteB has the shape of deployment B at a sixth of its size: many instances that each see few requests.
func siteB() replay {
	return replay{
		instances: 21, regions: []int{20, 20, 20}, slots: 9, queue: 27, cached: 17, objects: 100, skew: 0.9,
		kinds: []replayKind{
			{rate: 235, work: 1800 * time.Millisecond, target: time.Second, deadline: 10 * time.Second, lateValue: 0.08, priority: 0, attempts: 3},
			{rate: 70, work: 2360 * time.Millisecond, target: 1500 * time.Millisecond, deadline: 12 * time.Second, lateValue: 0.3, priority: 1, attempts: 3},
			{rate: 27, work: 2160 * time.Millisecond, target: 3 * time.Second, deadline: 12 * time.Second, lateValue: 0.3, priority: 2, attempts: 3},
		},
		wave: 0.55, far: 17 * time.Millisecond, length: 15 * time.Second,
	}
}

// siteEarlier has the shape of the earlier deployments: few servers with few slots, whose caches hold a large part of the objects.
func siteEarlier() replay {
	return replay{
		instances: 18, regions: []int{6, 6, 6}, slots: 4, queue: 12, cached: 20, objects: 60, skew: 0.5,
		kinds: []replayKind{
			{rate: 150, work: 300 * time.Millisecond, target: 500 * time.Millisecond, deadline: 3 * time.Second, lateValue: 0.3, priority: 0, attempts: 3},
			{rate: 100, work: 400 * time.Millisecond, target: 800 * time.Millisecond, deadline: 4 * time.Second, lateValue: 0.3, priority: 1, attempts: 3},
			{rate: 75, work: 500 * time.Millisecond, target: 1000 * time.Millisecond, deadline: 5 * time.Second, lateValue: 0.3, priority: 2, attempts: 3},
			{rate: 50, work: 300 * time.Millisecond, target: 800 * time.Millisecond, deadline: 4 * time.Second, lateValue: 0.3, priority: 1, attempts: 3},
		},
		wave: 0.3, far: 17 * time.Millisecond, length: 15 * time.Second,
	}
}

// replaySeeds is the number of seeds of a replay whose result is compared closely. One run differs from the next by up to 0.03 in
// value.
const replaySeeds = 3

// playAll plays the site with some seeds and returns the counts of all runs together.
func playAll(site func() replay, seeds int, change func(*replay)) replay {
	sum := site()
	sum.total = make([]replayCount, len(sum.kinds))
	for seed := range uint64(seeds) {
		r := site()
		change(&r)
		r.play(seed)
		sum.hits, sum.runs = sum.hits+r.hits, sum.runs+r.runs
		for k, c := range r.total {
			sum.total[k].add(c)
		}
		if sum.byCust == nil {
			sum.byCust = make([]replayCount, len(r.byCust))
		}
		for k, c := range r.byCust {
			sum.byCust[k].add(c)
		}
	}
	return sum
}

func (r *replay) show(t *testing.T, name string) {
	t.Helper()
	all := r.all()
	t.Logf("%-28s value %.3f served %.3f in time %.3f hits %.3f", name, all.mean(), all.share(), float64(all.inTime)/float64(max(1, all.sent)), float64(r.hits)/float64(max(1, r.runs)))
	for k, c := range r.total {
		t.Logf("     kind %d prio %d sent %d value %.3f served %.3f in time %.3f %v", k, r.kinds[k].priority, c.sent, c.mean(), c.share(), float64(c.inTime)/float64(max(1, c.sent)), c.refused)
	}
}
