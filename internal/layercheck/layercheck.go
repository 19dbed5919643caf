// Package layercheck finds imports that run against the order of the layers.
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
// adapter to the users' platform stands above the four layers, so that only programs import it.
var Order = []string{"state", "coordination", "protocol", "transport", "platform", "cmd"}

// encoders are import paths that packages of the layers state and coordination must not use, so that decisions stay
// apart from the encoding of messages and from I/O.
var encoders = []string{"encoding/", "net/http", "net", "os", "github.com/fxamacker/cbor", "github.com/quic-go", "gopkg.in/ini"}

// Check parses the Go files below root and returns one line for each import against the order. It fails on a file that
// cannot be parsed.
func Check(root string) ([]string, error) {
	var bad []string
	err := walkGo(root, func(path, rel string) error {
		found, err := checkFile(path, rel)
		bad = append(bad, found...)
		return err
	})
	return bad, errors.Wrap(err, "check layers")
}

// CheckNames returns one line for each Go file below root, outside the folder, that holds one of the names.
func CheckNames(root, folder string, names []string) ([]string, error) {
	var bad []string
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
				bad = append(bad, rel+" names "+name)
			}
		}
		return nil
	})
	return bad, errors.Wrap(err, "check names")
}

// walkGo calls do for each Go file below root with its path, and its path from root with slashes.
func walkGo(root string, do func(path, rel string) error) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return do(path, filepath.ToSlash(rel))
	})
}

func checkFile(path, rel string) ([]string, error) {
	layer := rank(rel)
	if layer < 0 {
		return nil, nil
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var bad []string
	for _, spec := range f.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if within, ok := strings.CutPrefix(name, Module+"/"); ok && rank(within+"/") > layer {
			bad = append(bad, rel+" imports the higher layer "+within)
		}
		if Order[layer] == "state" || Order[layer] == "coordination" {
			bad = append(bad, checkPure(rel, name)...)
		}
	}
	return bad, nil
}

// checkPure refuses encoders and I/O in decision code. Tests may use them.
func checkPure(rel, name string) []string {
	if strings.HasSuffix(rel, "_test.go") {
		return nil
	}
	for _, e := range encoders {
		if name == e || (strings.HasSuffix(e, "/") && strings.HasPrefix(name, e)) || strings.HasPrefix(name, e+"/") && e != "net" {
			if name == "encoding/binary" {
				return nil // byte order of in-memory tables, not a message encoding
			}
			return []string{rel + " uses " + name}
		}
	}
	return nil
}

// rank returns the place of a path in Order, or -1 when it belongs to no layer.
func rank(path string) int {
	top, _, _ := strings.Cut(path, "/")
	for i, name := range Order {
		if name == top {
			return i
		}
	}
	return -1
}
