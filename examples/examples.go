// Package examples holds the example manifests, embedded for the dev command.
//
// # Usage
//
//	data, err := examples.Manifest("harbwr")
package examples

import (
	"embed"

	"github.com/go-faster/errors"
)

//go:embed *.yaml
var files embed.FS

// Manifest returns the example manifest with the name, for instance harbwr.
func Manifest(name string) ([]byte, error) {
	data, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "example manifest %s", name)
	}
	return data, nil
}
