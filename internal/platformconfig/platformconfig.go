// Package platformconfig reads what a router is told at its start: the NODE_*
// variables and the JSON file that one of them names.
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
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     *discovery.List // the list as this router last had it; nil when none was kept
	Settings  *platformsettings.Settings
}

// Limits are what the platform allows the process.
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

// Load reads the file that NODE_CONFIG names; the other variables, where set,
// go before what the file says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("config: NODE_CONFIG is not set")
	}
	return read(path, getenv)
}

// Reload is Load after the file was replaced: the variables still tell of the
// start, so the file's agent goes before NODE_DISCOVERY.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Check reads a configuration file by itself.
func Check(path string) (*Config, error) {
	return read(path, func(string) string { return "" })
}

func read(path string, getenv func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var f file
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &f); err != nil {
		if where := strictjson.UnmarshalLenient(raw, &file{}); where != nil && jsoniter.Valid(raw) { // it tells the field
			return nil, fmt.Errorf("config: %w", where)
		}
		return nil, fmt.Errorf("config: not valid JSON: %w", err)
	}
	c := &Config{Name: cmp.Or(getenv("NODE_NAME"), f.Name), Listen: cmp.Or(getenv("NODE_LISTEN"), f.Listen),
		Discovery: cmp.Or(getenv("NODE_DISCOVERY"), f.Discovery), Limits: f.Limits}
	var errs []error
	check := func(field string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", field, err))
		}
	}
	if c.Name == "" {
		check("name", errors.New("missing"))
	}
	check("listen", address(c.Listen))
	check("discovery", address(c.Discovery))
	check("limits", c.Limits.validate())
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		check("seed", fmt.Errorf("not 64 bits in hex: %q", f.Seed))
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		c.Known, err = discovery.Parse(f.Known, time.Now())
		check("known", err)
	}
	c.Settings, err = platformsettings.Parse(f.Settings)
	if check("settings", err); err == nil {
		_, err = balance.New(c.Settings.Balance, c.Seed)
		check("settings", err)
		check("settings", c.Settings.ValidateForServing())
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("config: %w", oneLine(errs))
	}
	return c, nil
}

// oneLine joins errors so that they print on a single line.
func oneLine(errs []error) error {
	out := errs[0]
	for _, err := range errs[1:] {
		out = fmt.Errorf("%w; %w", out, err)
	}
	return out
}

func address(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("not an address with a port: %q", s)
	}
	return nil
}

func (l Limits) validate() error {
	const leastMemory, leastSockets = 16, 64
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("cores: %v is not above 0", l.Cores)
	case l.MemoryMB < leastMemory:
		return fmt.Errorf("memory_mb: %d, at least %d needed", l.MemoryMB, leastMemory)
	case l.Sockets < leastSockets:
		return fmt.Errorf("sockets: %d, at least %d needed", l.Sockets, leastSockets)
	}
	return nil
}
