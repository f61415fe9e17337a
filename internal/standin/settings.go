package standin

import (
	"bytes"
	"os"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Settings is the settings file of a process that serves several stand-ins.
type Settings struct {
	Standins []Options `yaml:"standins"`
}

// LoadSettings reads a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read stand-in settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes settings. Unknown keys are errors; the error names the
// file and shows line and column.
func ParseSettings(name string, data []byte) (*Settings, error) {
	var s Settings
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "decode %s", name)
	}
	if len(s.Standins) == 0 {
		return nil, errors.Errorf("decode %s: want at least one stand-in below standins", name)
	}
	for _, o := range s.Standins {
		if _, err := o.withDefaults(); err != nil {
			return nil, errors.Wrapf(err, "check %s", name)
		}
	}
	return &s, nil
}
