package verbs_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftctl/verbs"
)

var update = flag.Bool("update", false, "rewrite the expected output of the cases")

// TestCases runs each folder of cases: its cmd file has the command line, its expout what is printed,
// ended by the exit code.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("cases/*")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, folders, qt.Not(qt.HasLen), 0)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			command, err := os.ReadFile(filepath.Join(folder, "cmd"))
			qt.Assert(t, err, qt.IsNil)
			var out bytes.Buffer
			code := verbs.Main(strings.Fields(string(command))[1:], &out, &out)
			out.WriteString("exit " + string(rune('0'+code)) + "\n")
			expected := filepath.Join(folder, "expout")
			if *update {
				qt.Assert(t, os.WriteFile(expected, out.Bytes(), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(expected)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, out.String(), qt.Equals, string(want))
		})
	}
}
