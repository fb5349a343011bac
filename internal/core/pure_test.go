package core

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports are the packages of the standard library that the state machine may import.
// None of them does I/O, reads a clock or starts a goroutine, as far as it is used here: of
// log/slog only the log levels are used, and of math/rand/v2 only the type of the generator
// that the caller provides.
var allowedImports = map[string]bool{
	"cmp": true, "encoding/binary": true, "errors": true, "fmt": true, "log/slog": true, "maps": true, "math": true,
	"math/rand/v2": true, "slices": true, "strconv": true, "strings": true,
	// An atomic flag tells the senders of orders that a role has ended.
	"sync/atomic": true,
}

// purePackages are the directories of this package and of the packages that make its
// decisions.
var purePackages = []string{
	".", "../cluster", "../coordination", "../leadership", "../message", "../micros", "../planning",
	"../provisioning", "../records", "../scheduler",
}

// TestStateMachineIsPure checks that the state machine cannot do I/O, which it must not do to
// run in simulated time.
func TestStateMachineIsPure(t *testing.T) {
	for _, dir := range purePackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("got no sources in %s, error %v, want some", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, spec := range parsed.Imports {
				path, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				isProjectImport := strings.HasPrefix(path, "spurmoor/internal/") || path == "github.com/go-json-experiment/json"
				if !allowedImports[path] && !isProjectImport {
					t.Errorf("%s: got import %s, want only allowed ones", file, path)
				}
			}
		}
	}
}
