// Package control holds what the control endpoints of the stand-ins share.
package control

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
)

// Unimplemented answers the control calls that a stand-in has no use for.
type Unimplemented = tamarackv1connect.UnimplementedControlServiceHandler

// LoadJSON decodes a stand-in's configuration file.
func LoadJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration; name a readable file with -config")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode configuration")
}
