// Package strictjson decodes JSON files that people write: unknown fields are
// errors, and all problems of a file are reported at once.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Decode decodes one JSON value; a field that the target does not have is an
// error, and so is anything after the value.
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

// Problem is one thing wrong with a file.
type Problem struct {
	Field  string
	Value  string
	Remedy string
}

// String formats the problem for operators.
func (p Problem) String() string {
	return fmt.Sprintf("field %s: value %q; remedy: %s", p.Field, p.Value, p.Remedy)
}

// Join returns an error that lists the problems of a file, or nil.
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
