package verbs_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftlab/verbs"
)

var update = flag.Bool("update", false, "rewrite the expected output of the regression cases")

// TestCases runs the case in each folder of testdata: the arguments in "cmd" must produce the output in "expected".
func TestCases(t *testing.T) {
	commands, err := filepath.Glob("testdata/*/cmd")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(commands) > 0, qt.IsTrue)
	for _, command := range commands {
		folder := filepath.Dir(command)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			line, err := os.ReadFile(command)
			qt.Assert(t, err, qt.IsNil)
			got := session(strings.Fields(string(line)))
			expected := filepath.Join(folder, "expected")
			if *update {
				qt.Assert(t, os.WriteFile(expected, []byte(got), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(expected)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

// session runs a verb and returns its output, error output and exit code as text.
func session(args []string) string {
	var out, errs bytes.Buffer
	code := verbs.Main(args, &out, &errs)
	return fmt.Sprintf("%s--- stderr\n%s--- exit code %d\n", out.String(), errs.String(), code)
}
