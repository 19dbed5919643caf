package blocks

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
)

// Guards against a change that affects addresses outside its block, and against a change that modifies an earlier table.
func TestTableMatchesPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, model := New(), []Block(nil)
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			var changes []Block
			for range rapid.IntRange(0, 30).Draw(rt, "changes") {
				changes = append(changes, drawBlock(rt))
			}
			siteBefore, earlier := table.Lookup(netip.MustParseAddr("10.0.0.1")), table
			next, err := table.With(changes)
			if err != nil {
				rt.Fatal(err)
			}
			if earlier.Lookup(netip.MustParseAddr("10.0.0.1")) != siteBefore {
				rt.Fatal("With modified the table that it was called on")
			}
			table, model = next, append(model, changes...)
			for range 50 {
				a := drawAddr(rt)
				if got, want := table.Lookup(a), lookupModel(model, a); got != want {
					rt.Fatalf("site of %s is %d, want %d", a, got, want)
				}
			}
		}
	})
}

func drawBlock(rt *rapid.T) Block {
	a := drawAddr(rt)
	bits := rapid.IntRange(0, 32).Draw(rt, "bits")
	if a.Is6() {
		bits *= 2
	}
	return Block{netip.PrefixFrom(a, bits).Masked(), Site(rapid.IntRange(0, 4).Draw(rt, "site"))}
}

// drawAddr draws from few byte values, so that blocks overlap and adjoin.
func drawAddr(rt *rapid.T) netip.Addr {
	b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 10, 127, 128, 255}), 4, 4).Draw(rt, "address")
	if rapid.Bool().Draw(rt, "v6") {
		return netip.AddrFrom16([16]byte{0x20, 1, b[0], b[1], b[2], b[3], 0, 1})
	}
	return netip.AddrFrom4([4]byte(b))
}

func lookupModel(list []Block, a netip.Addr) Site {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Prefix.Contains(a) {
			return list[i].Site
		}
	}
	return NoSite
}

// Guards against accepting an invalid prefix, or one that is longer than the key of IPv6 addresses.
func TestWithRefusesLongPrefix(t *testing.T) {
	g := NewWithT(t)
	_, err := New().With([]Block{{netip.MustParsePrefix("2001:db8::/96"), 1}})
	g.Expect(err).To(HaveOccurred())
	_, err = New().With([]Block{{netip.Prefix{}, 1}})
	g.Expect(err).To(HaveOccurred())
}

// targetBlocks is the number of client blocks at the target size.
const targetBlocks = 1_800_000

func targetTable(tb testing.TB) *Table { return tableOf(tb, targetBlocks) }

// tableOf returns a table of n blocks that are spread evenly, with a gap after each.
func tableOf(tb testing.TB, n int) *Table {
	r := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, n)
	step := uint32((1 << 32) / n)
	for i := range blocks {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(i)*step)
		blocks[i] = Block{netip.PrefixFrom(netip.AddrFrom4(b), 22).Masked(), Site(1 + r.IntN(1700))}
	}
	t, err := New().With(blocks)
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

// randomAddress returns the next random address. It reads no memory, so that only the table's own cache misses are measured.
func randomAddress(seed *uint32) netip.Addr {
	*seed ^= *seed << 13
	*seed ^= *seed >> 17
	*seed ^= *seed << 5
	return netip.AddrFrom4([4]byte{byte(*seed >> 24), byte(*seed >> 16), byte(*seed >> 8), byte(*seed)})
}

func BenchmarkLookup(b *testing.B) {
	t, seed := targetTable(b), uint32(3)
	b.ReportAllocs()
	var sum Site
	for b.Loop() {
		sum += t.Lookup(randomAddress(&seed))
	}
	_ = sum
	b.ReportMetric(float64(t.Bytes())/1e6, "table-MB")
	b.ReportMetric(float64(t.Len()), "ranges")
}

// BenchmarkSize reports the memory and the time of a look-up for tables of several sizes.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 500_000, 1_000_000, targetBlocks} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, seed, sum := tableOf(b, n), uint32(3), Site(0)
			for b.Loop() {
				sum += t.Lookup(randomAddress(&seed))
			}
			_ = sum
			b.ReportMetric(float64(t.Bytes())/1e6, "table-MB")
		})
	}
}

// BenchmarkSingleLookup times each look-up alone and reports percentiles less the median cost of reading the clock:
// for addresses from the whole table, which miss the processor's caches, and from a sixteenth of it.
func BenchmarkSingleLookup(b *testing.B) {
	t := targetTable(b)
	b.Run("all", func(b *testing.B) { timeLookups(b, t, 0xff) })
	b.Run("sixteenth", func(b *testing.B) { timeLookups(b, t, 0x0f) })
}

// timeLookups looks up random addresses whose first byte is masked.
func timeLookups(b *testing.B, t *Table, mask byte) {
	var took, clock [4096]int // observations by nanoseconds
	seed, sum := uint32(3), Site(0)
	for b.Loop() {
		raw := randomAddress(&seed).As4()
		raw[0] &= mask
		a := netip.AddrFrom4(raw)
		t0 := time.Now()
		sum += t.Lookup(a)
		t1 := time.Now()
		took[min(int(t1.Sub(t0)), len(took)-1)]++
		clock[min(int(time.Since(t1)), len(clock)-1)]++
	}
	_ = sum
	clockCost := percentile(clock[:], 50)
	b.ReportMetric(float64(percentile(took[:], 50)-clockCost), "p50-ns")
	b.ReportMetric(float64(percentile(took[:], 99)-clockCost), "p99-ns")
	b.ReportMetric(float64(clockCost), "clock-ns")
}

func percentile(count []int, p int) int {
	all, below := 0, 0
	for _, n := range count {
		all += n
	}
	for v, n := range count {
		if below += n; below*100 >= all*p {
			return v
		}
	}
	return len(count)
}

// BenchmarkWith changes one block of the target table.
func BenchmarkWith(b *testing.B) {
	t := targetTable(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n, err := t.With([]Block{{netip.MustParsePrefix("10.1.0.0/22"), Site(1 + i%1700)}})
		if err != nil {
			b.Fatal(err)
		}
		t = n
	}
}

func TestMain(m *testing.M) { proptest.Main(m, 200, 30) }
