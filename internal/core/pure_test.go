package core

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// pure are the packages of the standard library that the state machine may use: none does
// input or output, reads a clock or starts a goroutine.
var pure = map[string]bool{
	"cmp": true, "encoding/binary": true, "errors": true, "fmt": true, "log/slog": true, "maps": true, "math": true,
	"math/rand/v2": true, "slices": true, "strconv": true, "strings": true,
	// An atomic flag tells whoever sends orders that a role has ended.
	"sync/atomic": true,
}

// purePackages are the state machine's own and all that its decisions are made in.
var purePackages = []string{
	".", "../cluster", "../coordination", "../leadership", "../message", "../micros", "../planning",
	"../provisioning", "../records", "../scheduler",
}

// TestPure guards the design: a state machine that does no input or output can be
// played in simulated time. slog gives the names of the log's levels, rand the type
// of the generator that is handed in.
func TestPure(t *testing.T) {
	for _, dir := range purePackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no sources in %s: %v", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, spec := range f.Imports {
				path, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				ours := strings.HasPrefix(path, "spurmoor/internal/") || path == "github.com/go-json-experiment/json"
				if !pure[path] && !ours {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}
