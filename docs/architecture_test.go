// Package docs has no code; its test keeps the pages true.
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

// TestArchitectureNamesEveryPackage guards that no package under internal is missing on
// the page that shows the whole.
func TestArchitectureNamesEveryPackage(t *testing.T) {
	t.Parallel()
	page := readPage(t)
	entries, err := os.ReadDir("../internal")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.IsDir() && !strings.Contains(page, "`internal/"+entry.Name()+"`") {
			t.Errorf("architecture.md does not name internal/%s", entry.Name())
		}
	}
}

// codeName is a name such as `core.Controller.Step` in the text of the page.
var codeName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+)(?:\\.([A-Za-z]+))?`")

// TestArchitectureNamesWhatExists guards that every function and type that the page names
// is declared where the page says.
func TestArchitectureNamesWhatExists(t *testing.T) {
	t.Parallel()
	names := codeName.FindAllStringSubmatch(readPage(t), -1)
	if len(names) == 0 {
		t.Fatal("architecture.md names nothing")
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
			t.Errorf("architecture.md names %s, which does not exist", name[0])
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

// declarations lists what a package declares, as package.Function, package.Type and
// package.Type.Method.
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

// declaredNames lists the names of one declaration: functions, methods and types.
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
