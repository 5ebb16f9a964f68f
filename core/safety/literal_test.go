package safety

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEveryFailureNamesItsVerdict checks in the source that each literal of model.Failure sets Verdict and Reason. The
// zero verdict is NotRun, so a failure without one would promise that the request has not run although nothing decided
// that.
func TestEveryFailureNamesItsVerdict(t *testing.T) {
	found := 0
	for _, module := range []string{"core", "cftd", "cftctl", "cftlab"} {
		err := filepath.WalkDir(filepath.Join("..", "..", module), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				literal, ok := node.(*ast.CompositeLit)
				if ok && isFailure(literal.Type) {
					found++
					qt.Check(t, fieldsOf(literal), qt.Contains, "Verdict", qt.Commentf("%s", files.Position(literal.Pos())))
					qt.Check(t, fieldsOf(literal), qt.Contains, "Reason", qt.Commentf("%s", files.Position(literal.Pos())))
				}
				return true
			})
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, found > 0, qt.IsTrue)
}

// isFailure matches model.Failure, and Failure within package model.
func isFailure(expression ast.Expr) bool {
	switch e := expression.(type) {
	case *ast.SelectorExpr:
		return e.Sel.Name == "Failure"
	case *ast.Ident:
		return e.Name == "Failure"
	}
	return false
}

func fieldsOf(literal *ast.CompositeLit) []string {
	var names []string
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if name, ok := pair.Key.(*ast.Ident); ok {
				names = append(names, name.Name)
			}
		}
	}
	return names
}
