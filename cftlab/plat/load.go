package plat

import (
	"encoding/json"
	"io/fs"
	"strings"

	"github.com/pkg/errors"
)

// Load returns a state with one key for each JSON file: "contracts/policia-norte.json" becomes the key
// "contracts/policia-norte". Revisions follow the order of the paths.
func Load(folder fs.FS) (State, error) {
	state := State{Keys: map[string]Change{}}
	err := fs.WalkDir(folder, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".json") {
			return err
		}
		value, err := fs.ReadFile(folder, path)
		if err != nil {
			return err
		}
		if !json.Valid(value) {
			return errors.Errorf("%s: not JSON", path)
		}
		state = Put(state, strings.TrimSuffix(path, ".json"), value)
		return nil
	})
	return state, errors.Wrap(err, "load keys")
}
