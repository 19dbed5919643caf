// Package layercheck finds imports that violate the order of the layers.
package layercheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Module is the path of this project's module.
const Module = "azurebridge"

// Order lists the layers from the lowest to the highest. A package may import packages of its own and of lower layers. The
// package platform, the adapter to the users' platform, is above the four layers, so that only programs import it.
var Order = []string{"state", "coordination", "protocol", "transport", "platform", "cmd"}

// forbiddenImports are import paths that packages of the layers state and coordination must not use, so that decisions stay
// apart from the encoding of messages and from I/O.
var forbiddenImports = []string{"encoding/", "net/http", "net", "os", "github.com/fxamacker/cbor", "github.com/quic-go", "gopkg.in/ini"}

// Check parses the Go files below root and returns one line for each import that violates the order or that a decision layer
// must not use. It fails on a file that cannot be parsed.
func Check(root string) ([]string, error) {
	var violations []string
	err := walkGo(root, func(path, rel string) error {
		found, err := checkFile(path, rel)
		violations = append(violations, found...)
		return err
	})
	return violations, errors.Wrap(err, "check layers")
}

// CheckNames returns one line for each of the names that a Go file below root contains. Files in the folder are not checked.
func CheckNames(root, folder string, names []string) ([]string, error) {
	var violations []string
	err := walkGo(root, func(path, rel string) error {
		if strings.HasPrefix(rel, folder+"/") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			if strings.Contains(string(data), name) {
				violations = append(violations, rel+" contains "+name)
			}
		}
		return nil
	})
	return violations, errors.Wrap(err, "check names")
}

// walkGo calls visit for each Go file below root with its path, and its path relative to root with slashes.
func walkGo(root string, visit func(path, rel string) error) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return visit(path, filepath.ToSlash(rel))
	})
}

func checkFile(path, rel string) ([]string, error) {
	layer := layerOf(rel)
	if layer < 0 {
		return nil, nil
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var violations []string
	for _, spec := range f.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if imported, ok := strings.CutPrefix(name, Module+"/"); ok && layerOf(imported+"/") > layer {
			violations = append(violations, rel+" imports the higher layer "+imported)
		}
		if Order[layer] == "state" || Order[layer] == "coordination" {
			violations = append(violations, checkDecisionImport(rel, name)...)
		}
	}
	return violations, nil
}

// checkDecisionImport reports an import that decision code must not use. Tests may use all imports.
func checkDecisionImport(rel, name string) []string {
	if strings.HasSuffix(rel, "_test.go") {
		return nil
	}
	for _, p := range forbiddenImports {
		if name == p || (strings.HasSuffix(p, "/") && strings.HasPrefix(name, p)) || strings.HasPrefix(name, p+"/") && p != "net" {
			if name == "encoding/binary" {
				return nil // byte order of in-memory tables, not a message encoding
			}
			return []string{rel + " uses " + name}
		}
	}
	return nil
}

// layerOf returns the index in Order of the layer of a path, or -1 when it belongs to no layer.
func layerOf(path string) int {
	top, _, _ := strings.Cut(path, "/")
	for i, name := range Order {
		if name == top {
			return i
		}
	}
	return -1
}
