package layercheck

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an import anywhere in the project that violates the layer order.
func TestProjectKeepsLayerOrder(t *testing.T) {
	violations, err := Check("../..")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(violations).To(BeEmpty())
}

// Guards against a check that accepts everything.
func TestCheckReportsUpwardImportAndEncoder(t *testing.T) {
	g := NewWithT(t)
	root := t.TempDir()
	dir := filepath.Join(root, "state")
	g.Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	src := "package state\n\nimport (\n\t_ \"azurebridge/transport/edge\"\n\t_ \"encoding/json\"\n)\n"
	g.Expect(os.WriteFile(filepath.Join(dir, "a.go"), []byte(src), 0o644)).To(Succeed())
	violations, err := Check(root)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(violations).To(ConsistOf(
		"state/a.go imports the higher layer transport/edge",
		"state/a.go uses encoding/json",
	))
}

// Guards against a check that does not report an import of the adapter to the users' platform, or a name that only the adapter
// may use.
func TestCheckReportsUseOfTheAdapter(t *testing.T) {
	g := NewWithT(t)
	root := t.TempDir()
	for dir, src := range map[string]string{
		"transport": "package transport\n\nimport _ \"azurebridge/platform\"\n\nconst name = \"X-Wire\"\n",
		"platform":  "package platform\n\nconst name = \"X-Wire\"\n",
	} {
		g.Expect(os.MkdirAll(filepath.Join(root, dir), 0o755)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(root, dir, "a.go"), []byte(src), 0o644)).To(Succeed())
	}
	violations, err := Check(root)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(violations).To(ConsistOf("transport/a.go imports the higher layer platform"))
	violations, err = CheckNames(root, "platform", []string{"X-Wire"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(violations).To(ConsistOf("transport/a.go contains X-Wire"))
}
