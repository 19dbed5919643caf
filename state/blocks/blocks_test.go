package blocks

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
)

// Guards against a change that moves addresses outside its block, and against changes of an earlier table.
func TestTableMatchesPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, model := New(), []Block(nil)
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			var changes []Block
			for range rapid.IntRange(0, 30).Draw(rt, "changes") {
				changes = append(changes, drawBlock(rt))
			}
			before, probe := table.Lookup(netip.MustParseAddr("10.0.0.1")), table
			next, err := table.With(changes)
			if err != nil {
				rt.Fatal(err)
			}
			if probe.Lookup(netip.MustParseAddr("10.0.0.1")) != before {
				rt.Fatal("an earlier table has changed")
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

// drawAddr draws from few bytes, so that blocks overlap and touch.
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

// Guards against a table that grows without bound and against prefixes that the key cannot hold.
func TestWithRefusesLongPrefix(t *testing.T) {
	g := NewWithT(t)
	_, err := New().With([]Block{{netip.MustParsePrefix("2001:db8::/96"), 1}})
	g.Expect(err).To(HaveOccurred())
	_, err = New().With([]Block{{netip.Prefix{}, 1}})
	g.Expect(err).To(HaveOccurred())
}

// TargetBlocks is the number of client blocks at the target size.
const targetBlocks = 1_800_000

func targetTable(tb testing.TB) *Table {
	r := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, targetBlocks)
	step := uint32((1 << 32) / targetBlocks)
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

func BenchmarkLookup(b *testing.B) {
	t := targetTable(b)
	r := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		addrs[i] = netip.AddrFrom4(a)
	}
	b.ReportMetric(float64(t.Bytes())/1e6, "table-MB")
	b.ReportMetric(float64(t.Len()), "ranges")
	b.ReportAllocs()
	var sum Site
	for i := 0; b.Loop(); i++ {
		sum += t.Lookup(addrs[i&(1<<16-1)])
	}
	_ = sum
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
