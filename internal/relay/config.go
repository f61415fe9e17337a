package relay

import (
	"bytes"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Config is the settings file of a relay.
type Config struct {
	// Admin is the IP:port that switches the relay.
	Admin string `yaml:"admin"`
	// Links are the processes that are reached through the relay.
	Links []Link `yaml:"links"`
	// Sources names the processes that open connections by their IP address. A
	// process without one goes by its address.
	Sources map[string]string `yaml:"sources"`
}

// Link is the way to one process.
type Link struct {
	Name   string `yaml:"name"`   // of the process; several links may lead to one
	Listen string `yaml:"listen"` // IP:port, which the process announces
	Target string `yaml:"target"` // IP:port on which the process listens
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read relay settings")
	}
	return Parse(path, data)
}

// Parse decodes settings. Unknown keys are errors; the error names the file.
func Parse(name string, data []byte) (*Config, error) {
	var c Config
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&c); err != nil {
		return nil, errors.Wrapf(err, "decode %s", name)
	}
	if c.Admin == "" || len(c.Links) == 0 {
		return nil, errors.Errorf("check %s: admin and at least one link are required", name)
	}
	for _, l := range c.Links {
		if l.Name == "" || l.Listen == "" || l.Target == "" {
			return nil, errors.Errorf("check %s: every link needs name, listen and target", name)
		}
	}
	for ip := range c.Sources {
		if net.ParseIP(ip) == nil {
			return nil, errors.Errorf("check %s: source %q is no IP address", name, ip)
		}
	}
	return &c, nil
}

func (c *Config) source(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	if name, ok := c.Sources[host]; ok {
		return name
	}
	return host
}
