// Package strictjson decodes hand-written JSON files strictly: unknown fields are
// errors, and all problems of a file are reported together.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Decode decodes one JSON value into the value that into points to. Fields that
// it does not have and data after the JSON value are errors.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the JSON value")
	}
	return nil
}

// Problem is an invalid field of a file, with its value and its remedy.
type Problem struct {
	Field  string
	Value  string
	Remedy string
}

// String formats the problem for operators.
func (p Problem) String() string {
	return fmt.Sprintf("field %s: value %q; remedy: %s", p.Field, p.Value, p.Remedy)
}

// Join returns an error that lists the problems of a file, or nil if there are
// none.
func Join(file string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return errors.Newf("%s has %d problems:\n%s", file, len(problems), strings.Join(lines, "\n"))
}
