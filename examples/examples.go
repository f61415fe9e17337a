// Package examples holds the example manifests and load mixes, embedded for the
// dev and experiment commands.
//
// # Usage
//
//	data, err := examples.Manifest("harbwr")
package examples

import (
	"embed"

	"github.com/go-faster/errors"
)

//go:embed *.yaml load/*.yaml
var files embed.FS

// Manifest returns the example manifest with the name, for instance harbwr.
func Manifest(name string) ([]byte, error) {
	data, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "example manifest %s", name)
	}
	return data, nil
}

// Mix returns the example load mix with the name, for instance harbwr.
func Mix(name string) ([]byte, error) {
	data, err := files.ReadFile("load/" + name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "example mix %s", name)
	}
	return data, nil
}
