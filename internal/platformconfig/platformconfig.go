// Package platformconfig reads the router's configuration from the platform: the NODE_* environment variables and the
// JSON file that NODE_CONFIG names.
package platformconfig

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/discovery"
	"lotushook/internal/platformsettings"
	"lotushook/internal/strictjson"
	"lotushook/policy/balance"
)

// Config is a router's configuration, validated.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	Limits        Limits
	LastKnownList *discovery.List // the last endpoint list that this router had; nil if none was persisted
	Settings      *platformsettings.Settings
}

// Limits are the platform's limits on the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type file struct {
	Name      string              `json:"name"`
	Listen    string              `json:"listen"`
	Discovery string              `json:"discovery"`
	Seed      string              `json:"seed"`
	Limits    Limits              `json:"limits"`
	Known     jsoniter.RawMessage `json:"known"`
	Settings  jsoniter.RawMessage `json:"settings"`
}

// Load reads the file that NODE_CONFIG names. The other variables, if set, override the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("config: NODE_CONFIG is not set")
	}
	return read(path, getenv)
}

// Reload is Load after the file was replaced. The variables still have their values from the start, so the file's
// discovery address overrides NODE_DISCOVERY.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Check reads a configuration file without the environment variables.
func Check(path string) (*Config, error) {
	return read(path, func(string) string { return "" })
}

func read(path string, getenv func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var parsed file
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &parsed); err != nil {
		if kindError := strictjson.UnmarshalLenient(raw, &file{}); kindError != nil && jsoniter.Valid(raw) { // this error names the field
			return nil, fmt.Errorf("config: %w", kindError)
		}
		return nil, fmt.Errorf("config: not valid JSON: %w", err)
	}
	config := &Config{Name: cmp.Or(getenv("NODE_NAME"), parsed.Name), Listen: cmp.Or(getenv("NODE_LISTEN"), parsed.Listen),
		Discovery: cmp.Or(getenv("NODE_DISCOVERY"), parsed.Discovery), Limits: parsed.Limits}
	var errs []error
	check := func(field string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", field, err))
		}
	}
	if config.Name == "" {
		check("name", errors.New("missing"))
	}
	check("listen", checkAddress(config.Listen))
	check("discovery", checkAddress(config.Discovery))
	check("limits", config.Limits.validate())
	if config.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
		check("seed", fmt.Errorf("not 64 bits in hex: %q", parsed.Seed))
	}
	if len(parsed.Known) > 0 && string(parsed.Known) != "null" {
		config.LastKnownList, err = discovery.Parse(parsed.Known, time.Now())
		check("known", err)
	}
	config.Settings, err = platformsettings.Parse(parsed.Settings)
	if check("settings", err); err == nil {
		_, err = balance.New(config.Settings.Balance, config.Seed)
		check("settings", err)
		check("settings", config.Settings.ValidateForServing())
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("config: %w", joinOnOneLine(errs))
	}
	return config, nil
}

// joinOnOneLine joins errors so that they print on one line.
func joinOnOneLine(errs []error) error {
	joined := errs[0]
	for _, err := range errs[1:] {
		joined = fmt.Errorf("%w; %w", joined, err)
	}
	return joined
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("not an address with a port: %q", address)
	}
	return nil
}

func (l Limits) validate() error {
	const minMemoryMB, minSockets = 16, 64
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("cores: %v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("memory_mb: %d, at least %d needed", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("sockets: %d, at least %d needed", l.Sockets, minSockets)
	}
	return nil
}
