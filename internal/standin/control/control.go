// Package control contains code shared by the control endpoints of the stand-ins.
package control

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
)

// Unimplemented answers the control calls that a stand-in does not support.
type Unimplemented = tamarackv1connect.UnimplementedControlServiceHandler

// LoadJSON decodes a stand-in's configuration file into a value.
func LoadJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration; name a readable file with -config")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode configuration")
}
