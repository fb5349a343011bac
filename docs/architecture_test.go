// Package docs has no code. Its tests check the documentation against the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestArchitectureNamesEveryPackage guards against a package under internal that is missing
// in architecture.md.
func TestArchitectureNamesEveryPackage(t *testing.T) {
	t.Parallel()
	page := readPage(t)
	entries, err := os.ReadDir("../internal")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.IsDir() && !strings.Contains(page, "`internal/"+entry.Name()+"`") {
			t.Errorf("got no mention of internal/%s in architecture.md, want one", entry.Name())
		}
	}
}

// qualifiedName matches a name such as `core.Controller.Step` in the text of the page.
var qualifiedName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+)(?:\\.([A-Za-z]+))?`")

// TestArchitectureNamesWhatExists guards against a function or type in architecture.md that
// the package it names does not declare.
func TestArchitectureNamesWhatExists(t *testing.T) {
	t.Parallel()
	names := qualifiedName.FindAllStringSubmatch(readPage(t), -1)
	if len(names) == 0 {
		t.Fatal("got no qualified names in architecture.md, want some")
	}
	declared := map[string]map[string]bool{}
	for _, name := range names {
		packageName := name[1]
		if _, err := os.Stat(filepath.Join("../internal", packageName)); err != nil {
			continue // a file, such as design.md
		}
		if declared[packageName] == nil {
			declared[packageName] = declarations(t, packageName)
		}
		if !declared[packageName][strings.Trim(name[0], "`")] {
			t.Errorf("architecture.md names %s; got no such declaration, want one", name[0])
		}
	}
}

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// declarations returns the set of what a package declares, tests included, as
// package.Function, package.Type and package.Type.Method.
func declarations(t *testing.T, packageName string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../internal", packageName, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range parsed.Decls {
			for _, name := range declaredNames(declaration) {
				names[packageName+"."+name] = true
			}
		}
	}
	return names
}

// declaredNames returns the names of functions, methods (as Type.Method) and types in a
// declaration.
func declaredNames(declaration ast.Decl) []string {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil {
			return []string{declaration.Name.Name}
		}
		receiver := declaration.Recv.List[0].Type
		if pointer, ok := receiver.(*ast.StarExpr); ok {
			receiver = pointer.X
		}
		if named, ok := receiver.(*ast.Ident); ok {
			return []string{named.Name + "." + declaration.Name.Name}
		}
	case *ast.GenDecl:
		var names []string
		for _, spec := range declaration.Specs {
			if spec, ok := spec.(*ast.TypeSpec); ok {
				names = append(names, spec.Name.Name)
			}
		}
		return names
	}
	return nil
}
