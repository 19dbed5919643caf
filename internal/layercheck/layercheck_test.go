package layercheck

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an import against the layer order anywhere in the project.
func TestProjectKeepsLayerOrder(t *testing.T) {
	bad, err := Check("../..")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bad).To(BeEmpty())
}

// Guards against a check that accepts everything.
func TestCheckReportsUpwardImportAndEncoder(t *testing.T) {
	g := NewWithT(t)
	root := t.TempDir()
	dir := filepath.Join(root, "state")
	g.Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	src := "package state\n\nimport (\n\t_ \"azurebridge/transport/edge\"\n\t_ \"encoding/json\"\n)\n"
	g.Expect(os.WriteFile(filepath.Join(dir, "a.go"), []byte(src), 0o644)).To(Succeed())
	bad, err := Check(root)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bad).To(ConsistOf(
		"state/a.go imports the higher layer transport/edge",
		"state/a.go uses encoding/json",
	))
}

// Guards against a layer that imports the adapter to the users' platform, and against a check of names that finds nothing.
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
	bad, err := Check(root)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bad).To(ConsistOf("transport/a.go imports the higher layer platform"))
	bad, err = CheckNames(root, "platform", []string{"X-Wire"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bad).To(ConsistOf("transport/a.go names X-Wire"))
}
