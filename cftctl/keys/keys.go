// Package keys reads a folder with the values that operators publish.
//
// The folder mirrors the published keys: the value of "contracts/police" is in contracts/police.json.
package keys

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
	"comfreytack/core/strict"
)

const suffix = ".json"

// Folder holds the result of reading a folder.
type Folder struct {
	// Contracts and Services hold only valid values.
	Contracts map[model.Customer]model.Contract
	Services  map[model.ServiceName]model.Service
	// Files counts the files that were read.
	Files int
	// Faults has one entry for each rejected file, in the order of the file names.
	Faults []*strict.Fault
}

// Read reads and checks every published value below root. It fails when there is none.
func Read(root string) (*Folder, error) {
	folder := &Folder{
		Contracts: map[model.Customer]model.Contract{},
		Services:  map[model.ServiceName]model.Service{},
	}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != suffix {
			return err
		}
		return folder.addFile(root, path)
	})
	if err == nil && folder.Files == 0 {
		err = errors.Errorf("%s has no .json file; expected contracts/NAME.json, services/NAME.json or marks/NAME.json", root)
	}
	return folder, err
}

func (f *Folder) addFile(root, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read published value")
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return errors.Wrap(err, "derive key of published value")
	}
	f.Files++
	key := strings.TrimSuffix(filepath.ToSlash(relative), suffix)
	if fault := f.addValue(key, raw); fault != nil {
		fault.File = path
		f.Faults = append(f.Faults, fault)
	}
	return nil
}

// addValue checks a value and keeps it if it is a valid contract or service. Values of other kinds are only checked.
func (f *Folder) addValue(key string, raw []byte) *strict.Fault {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case check.ContractPrefix:
		contract, fault := check.Contract(model.Customer(name), raw)
		if fault == nil {
			f.Contracts[contract.Customer] = contract
		}
		return fault
	case check.ServicePrefix:
		service, fault := check.Service(model.ServiceName(name), raw)
		if fault == nil {
			f.Services[service.Name] = service
		}
		return fault
	}
	return check.Value(key, raw)
}
