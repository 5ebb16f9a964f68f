// Package strict decodes JSON files and reports faults with their line and field.
package strict

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Fault is one error in a file.
type Fault struct {
	// File is the file's name as the user gave it.
	File string
	// Line counts from 1; zero for the whole file.
	Line int
	// Field is the path of the field, for example "log.level"; empty for the whole file.
	Field string
	// Found describes the value in the file, and Allowed the values that are valid there.
	Found   string
	Allowed string
}

// Error renders the fault on one line, for example
//
//	quito.json:7: log.level: found "loud"; allowed: debug, info, warn, error
func (f *Fault) Error() string {
	var text strings.Builder
	text.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&text, ":%d", f.Line)
	}
	if f.Field != "" {
		text.WriteString(": " + f.Field)
	}
	text.WriteString(": found " + f.Found)
	if f.Allowed != "" {
		text.WriteString("; allowed: " + f.Allowed)
	}
	return text.String()
}

// Decode reads one JSON value into target. Unknown and duplicate fields are faults.
func Decode(file string, data []byte, target any) error {
	err := json.Unmarshal(data, target, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return semanticFault(file, data, semantic)
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return &Fault{
			File:    file,
			Line:    lineAt(data, syntactic.ByteOffset),
			Field:   fieldPath(syntactic.JSONPointer),
			Found:   syntactic.Err.Error(),
			Allowed: "JSON with each name once",
		}
	}
	return &Fault{File: file, Found: err.Error()}
}

// FaultAt returns a fault at the field with the given path, for example "log.level".
func FaultAt(file string, data []byte, field, found, allowed string) *Fault {
	return &Fault{File: file, Line: LineOf(data, field), Field: field, Found: found, Allowed: allowed}
}

// LineOf returns the line of the field with the given path, or 1 when the field is absent.
func LineOf(data []byte, field string) int {
	want := "/" + strings.ReplaceAll(field, ".", "/")
	decoder := jsontext.NewDecoder(bytes.NewReader(data))
	for {
		if _, err := decoder.ReadToken(); err != nil {
			return 1
		}
		if string(decoder.StackPointer()) == want {
			return lineAt(data, decoder.InputOffset())
		}
	}
}

func semanticFault(file string, data []byte, err *json.SemanticError) *Fault {
	fault := &Fault{File: file, Line: lineAt(data, err.ByteOffset), Field: fieldPath(err.JSONPointer)}
	switch {
	case errors.Is(err.Err, json.ErrUnknownName):
		fault.Found = "an unknown field"
		fault.Allowed = "the fields that the documentation lists"
	case err.Err != nil:
		fault.Found = err.Err.Error()
	default:
		fault.Found = "a JSON " + err.JSONKind.String()
		fault.Allowed = jsonTypeName(err.GoType)
	}
	return fault
}

// jsonTypeName describes the JSON value that a Go type decodes from.
func jsonTypeName(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

func fieldPath(pointer jsontext.Pointer) string {
	return strings.ReplaceAll(strings.TrimPrefix(string(pointer), "/"), "/", ".")
}

func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}
