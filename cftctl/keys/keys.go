// Package keys reads a folder with the values that operators publish.
//
// The folder mirrors the published keys: the value of "contracts/police" stands in contracts/police.json.
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

// Folder has the checked values of a folder.
type Folder struct {
	// Contracts and Services hold only values without faults.
	Contracts map[model.Customer]model.Contract
	Services  map[model.ServiceName]model.Service
	// Files counts the files that were read.
	Files int
	// Faults has one entry for each file that was refused, in the order of their names.
	Faults []*strict.Fault
}

// Read reads every published value below the folder.
func Read(root string) (*Folder, error) {
	folder := &Folder{
		Contracts: map[model.Customer]model.Contract{},
		Services:  map[model.ServiceName]model.Service{},
	}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != suffix {
			return err
		}
		return folder.add(root, path)
	})
	if err == nil && folder.Files == 0 {
		err = errors.Errorf("%s has no .json file; expected contracts/NAME.json, services/NAME.json or marks/NAME.json", root)
	}
	return folder, err
}

func (f *Folder) add(root, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read published value")
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return errors.Wrap(err, "name published value")
	}
	f.Files++
	key := strings.TrimSuffix(filepath.ToSlash(relative), suffix)
	if fault := f.keep(key, raw); fault != nil {
		fault.File = path
		f.Faults = append(f.Faults, fault)
	}
	return nil
}

func (f *Folder) keep(key string, raw []byte) *strict.Fault {
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
