package settings

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/inifile"
)

// Guards against example settings that the programs reject.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"archive", "fitil"} {
		g := NewWithT(t)
		l, err := ReadLoad("../../examples/" + name + "/load.ini")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Deployment).To(Equal(name))
		s, err := LoadStandin("../../examples/" + name + "/standin.ini")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Instances).To(HaveLen(20))
	}
}

// Guards against the INI parser changing the JSON of a scheduled fault.
func TestScheduledFault(t *testing.T) {
	g := NewWithT(t)
	const fault = `{"kind":"slow","server":"search-01","factor":10}`
	f, err := inifile.Parse("load.ini", []byte("[target]\ndeployment = x\nplatform = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n[fault slow]\nat = 5s\nuntil = 10s\nfault = "+fault+"\n"))
	g.Expect(err).NotTo(HaveOccurred())
	l, err := parseLoad(f)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Faults).To(HaveLen(1))
	g.Expect(l.Faults[0].JSON).To(Equal(fault))
}

// Guards against submissions that are sent ahead, and sent again when the connection ends although they may have run.
func TestOnlyReadsAreSentAhead(t *testing.T) {
	g := NewWithT(t)
	parse := func(kind string) (*Load, error) {
		f, err := inifile.Parse("load.ini", []byte("[target]\ndeployment = x\nplatform = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n"+
			"[mix a]\nservice = s\ncustomers = c\nregions = r\nahead = true\nkind = "+kind+"\n"))
		g.Expect(err).NotTo(HaveOccurred())
		return parseLoad(f)
	}
	l, err := parse("read")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Mix[0].Ahead).To(BeTrue())
	_, err = parse("submission")
	g.Expect(err).To(MatchError(ContainSubstring("[mix a] ahead: is for reads only")))
}

// Guards against accepting an incomplete section [callers_tls], and against requiring the section for plain HTTP.
func TestCallersTLS(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir() + "/entry.ini"
	read := func(section string) (*Entry, error) {
		const rest = "[instance]\nname = a\nfleet = f\nregion = r\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\nfleet = 127.0.0.1:2\n" +
			"operators = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n[tls]\nauthority = x\ncertificate = y\nkey = z\n"
		g.Expect(os.WriteFile(path, []byte(rest+section), 0o600)).To(Succeed())
		return LoadEntry(path)
	}
	e, err := read("")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.CallersTLS).To(BeZero())
	e, err = read("[callers_tls]\ncertificate = c\nkey = k\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.CallersTLS).To(Equal(CallersTLS{Certificate: "c", Key: "k"}))
	_, err = read("[callers_tls]\ncertificate = c\n")
	g.Expect(err).To(MatchError(ContainSubstring("[callers_tls] key")))
}
