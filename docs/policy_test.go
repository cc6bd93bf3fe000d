package docs_test

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

// The parts of a rule in docs/POLICY.md that name code.
const (
	placePrefix    = "- Where: "
	constantPrefix = "- Constants: "
)

var (
	identifier = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)?$`)
)

// TestPolicyNamesWhatIsThere holds that each rule names at least one file, and that the
// files, functions and constants that it names exist.
func TestPolicyNamesWhatIsThere(t *testing.T) {
	text, err := os.ReadFile("POLICY.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := declarations{}
	rules, named := 0, 0
	for _, rule := range strings.Split(string(text), "\n### ")[1:] {
		rules++
		title, _, _ := strings.Cut(rule, "\n")
		var files, names []string
		for line := range strings.Lines(rule) {
			if !strings.HasPrefix(line, placePrefix) && !strings.HasPrefix(line, constantPrefix) {
				continue
			}
			for _, found := range quoted.FindAllStringSubmatch(line, -1) {
				if strings.HasSuffix(found[1], ".go") {
					files = append(files, found[1])
				} else {
					names = append(names, found[1])
				}
			}
		}
		if len(files) == 0 {
			t.Errorf("%s: names no file", title)
		}
		for _, file := range files {
			if _, err := os.Stat(filepath.Join("..", file)); err != nil {
				t.Errorf("%s: %s isn't there", title, file)
			}
		}
		for _, name := range names {
			named++
			if !identifier.MatchString(name) {
				t.Errorf("%s: %q is no name", title, name)
			} else if !declared.inAny(t, files, name) {
				t.Errorf("%s: %s is declared in none of its folders", title, name)
			}
		}
	}
	if rules < 40 || named < 100 {
		t.Errorf("only %d rules with %d names were checked", rules, named)
	}
}

// declarations are the names declared in each folder of the module: functions, types,
// constants, variables, methods, and fields or methods as Type.member.
type declarations map[string]map[string]bool

// inAny tells whether one of the folders of some files declares a name. A qualified name
// is a type's member, or one of the package of that name.
func (d declarations) inAny(t *testing.T, files []string, name string) bool {
	for _, file := range files {
		folder := filepath.Dir(file)
		if d[folder] == nil {
			d[folder] = declaredIn(t, filepath.Join("..", folder))
		}
		if d[folder][name] {
			return true
		}
	}
	return false
}

func declaredIn(t *testing.T, folder string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			switch declaration := declaration.(type) {
			case *ast.FuncDecl:
				names[declaration.Name.Name] = true
				if receiver := receiverOf(declaration); receiver != "" {
					names[receiver+"."+declaration.Name.Name] = true
				}
			case *ast.GenDecl:
				addSpecs(names, declaration)
			}
		}
		// A name may be qualified by its package.
		for name := range names {
			if !strings.Contains(name, ".") {
				names[file.Name.Name+"."+name] = true
			}
		}
	}
	return names
}

func receiverOf(declaration *ast.FuncDecl) string {
	if declaration.Recv == nil || len(declaration.Recv.List) != 1 {
		return ""
	}
	kind := declaration.Recv.List[0].Type
	if pointer, ok := kind.(*ast.StarExpr); ok {
		kind = pointer.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

func addSpecs(names map[string]bool, declaration *ast.GenDecl) {
	for _, spec := range declaration.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			names[spec.Name.Name] = true
			if body, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range body.Fields.List {
					for _, name := range field.Names {
						names[spec.Name.Name+"."+name.Name] = true
					}
				}
			}
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				names[name.Name] = true
			}
		}
	}
}
