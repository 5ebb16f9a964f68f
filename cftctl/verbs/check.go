package verbs

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"comfreytack/cftctl/keys"
	"comfreytack/core/setup"
)

var checkVerb = verb{
	name:    "check",
	summary: "Check published values and settings of daemons, offline",
	usage: `[FOLDER or FILE]...

A FOLDER holds values to publish (contracts/NAME.json, services/NAME.json, marks/NAME.json).
A FILE holds the settings of a daemon.
Example: cftctl check deployments/quito/keys deployments/quito/daemon.json`,
	new: func() action { return &checkAction{} },
}

type checkAction struct{}

func (*checkAction) run(arguments []string, out io.Writer) error {
	if len(arguments) == 0 {
		return usageError("give a folder of values or a settings file")
	}
	faults := 0
	for _, path := range arguments {
		found, err := checkPath(path, out)
		if err != nil {
			return err
		}
		faults += found
	}
	if faults > 0 {
		fmt.Fprintf(out, "%d rejected; fix the lines listed above and check again\n", faults)
		return errFaults
	}
	return nil
}

func checkPath(path string, out io.Writer) (faults int, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, errors.Wrap(err, "give an existing folder or file")
	}
	if info.IsDir() {
		return checkFolder(path, out)
	}
	settings, err := setup.Read(path)
	if err != nil {
		fmt.Fprintln(out, err)
		return 1, nil
	}
	fmt.Fprintf(out, "%s: settings of %s are good\n", path, settings.Name)
	return 0, nil
}

func checkFolder(path string, out io.Writer) (faults int, err error) {
	folder, err := keys.Read(path)
	if err != nil {
		return 0, err
	}
	for _, fault := range folder.Faults {
		fmt.Fprintln(out, fault)
	}
	fmt.Fprintf(out, "%s: %d of %d values are good\n", path, folder.Files-len(folder.Faults), folder.Files)
	return len(folder.Faults), nil
}
