// Command azb-capacity measures the cost of control in fleets of several sizes. It runs the instances' control state in
// one process on a virtual clock, so that its figures do not include the transport.
package main

import (
	"fmt"
	"runtime"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"azurebridge/coordination/control/fleetbench"
	"azurebridge/protocol/wire"
	"azurebridge/state"
)

var cli struct {
	Instances []int         `help:"Sizes of the fleets." default:"10,20,40,80,160"`
	Regions   int           `help:"Number of regions." default:"3"`
	Domains   int           `help:"Number of failure domains in all regions together." default:"6"`
	Settle    time.Duration `help:"Virtual time before measuring." default:"15s"`
	Measure   time.Duration `help:"Virtual time that is measured." default:"10s"`
	Config    int           `help:"Bytes of an encoded configuration." default:"8192"`
	Kinds     bool          `help:"Print the messages by type."`
	Faults    bool          `help:"Also measure configuration changes, a restart, the loss of a failure domain and a partition between two regions." default:"true" negatable:""`
}

func main() {
	kong.Parse(&cli, kong.Description("Measures the cost of control in fleets on a virtual clock."))
	for _, n := range cli.Instances {
		measure(n)
	}
}

func measure(n int) {
	before := heapInUse()
	f := fleetbench.New(fleetbench.Options{
		Instances: n, Regions: min(cli.Regions, n), Domains: cli.Domains, Encode: wire.Encode, Decode: wire.Decode,
	})
	f.Run(cli.Settle)
	f.Apply(f.Members[0], 1, cli.Config)
	f.Run(2 * time.Second)
	f.Reset()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	f.Run(cli.Measure)
	runtime.ReadMemStats(&m1)
	s := cli.Measure.Seconds()
	printRoles(f, n, s)
	fmt.Printf("instances=%d heap_KB_each=%.0f allocs_per_s_each=%.0f alloc_KB_per_s_each=%.1f\n", n,
		float64(heapInUse()-before)/float64(n)/1024, float64(m1.Mallocs-m0.Mallocs)/s/float64(n), float64(m1.TotalAlloc-m0.TotalAlloc)/s/float64(n)/1024)
	if cli.Kinds {
		printMessageTypes(f, n, s)
	}
	if cli.Faults {
		measureChanges(f, n)
		measureFaults(f, n)
	}
	runtime.KeepAlive(f)
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// printRoles prints the means per instance of each role, the highest CPU use of an instance, and the use of the store.
func printRoles(f *fleetbench.Fleet, n int, s float64) {
	roles := map[string][]*fleetbench.Member{}
	store := 0
	for _, m := range f.Members {
		store += m.Usage.Store
		switch {
		case m.Down:
		case m.Home():
			roles["home"] = append(roles["home"], m)
		case m.Reader:
			roles["reader"] = append(roles["reader"], m)
		default:
			roles["member"] = append(roles["member"], m)
		}
	}
	for _, role := range []string{"member", "reader", "home"} {
		list := roles[role]
		if len(list) == 0 {
			continue
		}
		var sum fleetbench.Usage
		var maxBusy time.Duration
		for _, m := range list {
			u := &m.Usage
			sum.Sent, sum.Received = sum.Sent+u.Sent, sum.Received+u.Received
			sum.SentBytes, sum.ReceivedBytes = sum.SentBytes+u.SentBytes, sum.ReceivedBytes+u.ReceivedBytes
			sum.Busy, sum.Events, sum.Snapshots = sum.Busy+u.Busy, sum.Events+u.Events, sum.Snapshots+u.Snapshots
			maxBusy = max(maxBusy, u.Busy)
		}
		rate := func(v int) float64 { return float64(v) / s / float64(len(list)) }
		fmt.Printf("instances=%d role=%s count=%d sent/s=%.1f received/s=%.1f sent_KB/s=%.2f received_KB/s=%.2f cpu_percent=%.3f cpu_percent_max=%.3f wakeups/s=%.0f snapshots/s=%.1f\n",
			n, role, len(list), rate(sum.Sent), rate(sum.Received), rate(sum.SentBytes)/1000, rate(sum.ReceivedBytes)/1000,
			100*sum.Busy.Seconds()/s/float64(len(list)), 100*maxBusy.Seconds()/s, rate(sum.Events), rate(sum.Snapshots))
	}
	fmt.Printf("instances=%d store_operations/s=%.2f store_watches=%d\n", n, float64(store)/s, len(roles["reader"])+countReaders(roles["home"]))
}

func countReaders(list []*fleetbench.Member) int {
	n := 0
	for _, m := range list {
		if m.Reader {
			n++
		}
	}
	return n
}

func printMessageTypes(f *fleetbench.Fleet, n int, s float64) {
	var names []string
	for k := range f.ByType {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		u := f.ByType[k]
		fmt.Printf("instances=%d type=%s sent/s=%.1f sent_KB/s=%.2f bytes_each=%d\n", n, strings.TrimPrefix(k, "*message."),
			float64(u.Sent)/s, float64(u.SentBytes)/s/1000, u.SentBytes/u.Sent)
	}
}

// measureChanges prints on how many instances one change and a burst of ten are in force after 8 s, and how long that took.
func measureChanges(f *fleetbench.Fleet, n int) {
	apply := func(name string, first, last state.Revision) {
		f.Reset()
		accepted := f.Now
		for r := first; r <= last; r++ {
			f.Apply(f.Members[int(r)%len(f.Members)], r, cli.Config)
			accepted = f.Now
			f.Run(10 * time.Millisecond)
		}
		f.Run(8 * time.Second)
		instances, elapsed := f.InForce(last, accepted)
		u := f.ByType["*message.ConfigPush"]
		fmt.Printf("instances=%d event=%s in_force_at=%d in_force_ms=%d pushes=%d pushed_KB=%.0f\n", n, name, instances, elapsed.Milliseconds(), u.Sent, float64(u.SentBytes)/1000)
	}
	apply("change", 2, 2)
	apply("burst_of_10", 3, 12)
}

// measureFaults prints the messages and store operations in the 10 s from each event: the restart of an instance, the loss
// and the return of a failure domain, and the end of a partition between two regions. For the partition itself, which
// lasts 60 s, it prints the mean per 10 s.
func measureFaults(f *fleetbench.Fleet, n int) {
	baseline := measureFor(f, 10*time.Second)
	victim := f.Members[len(f.Members)-1]
	for _, m := range f.Members {
		if !m.Home() && !m.Reader {
			victim = m
		}
	}
	f.Reset()
	f.Kill(victim)
	f.Run(100 * time.Millisecond)
	f.Restart(victim)
	f.Run(9900 * time.Millisecond)
	own := victim.Usage
	printEvent(n, "restart", baseline, total(f))
	fmt.Printf("instances=%d event=restart own_sent=%d own_received=%d own_KB=%.1f\n", n, own.Sent, own.Received, float64(own.SentBytes+own.ReceivedBytes)/1000)

	lost := f.Members[0].Self.Domain
	f.Reset()
	for _, m := range f.Members {
		if m.Self.Domain == lost {
			f.Kill(m)
		}
	}
	f.Run(10 * time.Second)
	printEvent(n, "domain_lost", baseline, total(f))
	f.Reset()
	for _, m := range f.Members {
		if m.Down {
			f.Restart(m)
		}
	}
	f.Run(10 * time.Second)
	printEvent(n, "domain_back", baseline, total(f))
	a, b := f.Members[0].Self.Region, f.Members[1].Self.Region
	if a == b {
		return
	}
	f.SetPartitioned(a, b, true)
	f.Reset()
	f.Run(60 * time.Second)
	all := total(f)
	all.Sent, all.SentBytes, all.Store, all.Busy = all.Sent/6, all.SentBytes/6, all.Store/6, all.Busy/6
	printEvent(n, "parted_10s_of_60s", baseline, all)
	f.SetPartitioned(a, b, false)
	printEvent(n, "parted_end", baseline, measureFor(f, 10*time.Second))
}

func measureFor(f *fleetbench.Fleet, d time.Duration) fleetbench.Usage {
	f.Reset()
	f.Run(d)
	return total(f)
}

func total(f *fleetbench.Fleet) fleetbench.Usage {
	var sum fleetbench.Usage
	for _, m := range f.Members {
		sum.Sent, sum.SentBytes = sum.Sent+m.Usage.Sent, sum.SentBytes+m.Usage.SentBytes
		sum.Store, sum.Busy = sum.Store+m.Usage.Store, sum.Busy+m.Usage.Busy
	}
	return sum
}

func printEvent(n int, name string, baseline, u fleetbench.Usage) {
	fmt.Printf("instances=%d event=%s fleet_messages=%d (settled %d) fleet_KB=%.0f (settled %.0f) store_operations=%d busy_ms=%d (settled %d)\n", n, name,
		u.Sent, baseline.Sent, float64(u.SentBytes)/1000, float64(baseline.SentBytes)/1000, u.Store, u.Busy.Milliseconds(), baseline.Busy.Milliseconds())
}
