// Package platformsettings converts the platform's settings object into the types of package balance, which makes the
// routing decisions. The simulator's first message and a router's configuration contain the same object.
package platformsettings

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/strictjson"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// Settings is the settings object in the form that routers use.
type Settings struct {
	Balance        balance.Settings
	ReportFields   []string      // fields of a load report, in order
	PositionZero   clock.Nanos   // the position that the simulator sends as 0
	IdleTimeout    time.Duration // data servers close connections that have been idle for this long
	ConnectTimeout time.Duration // a connection attempt fails after this time
	DrainGrace     time.Duration // attempts to a drained or removed endpoint must stop within this time; 0: not specified

	AnswersHavePosition bool   // every answer contains a position
	HedgingAllowed      bool   // two attempts of one request may be in flight at the same time
	LoadReports         string // where load reports are sent: "answers", "probe" or "none"

	classIndex, tenantIndex map[string]int
}

// Parse decodes and validates a settings object. It ignores unknown keys.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) == 0 {
		return nil, errors.New("no settings object")
	}
	var decoded object
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &decoded); err != nil {
		if fieldErr := strictjson.UnmarshalLenient(raw, &object{}); fieldErr != nil { // this error names the field
			return nil, fieldErr
		}
		return nil, err
	}
	if err := decoded.check(); err != nil {
		return nil, err
	}
	balanceSettings, err := decoded.balanceSettings()
	if err != nil {
		return nil, err
	}
	settings := &Settings{
		Balance:             balanceSettings,
		ReportFields:        decoded.Report.Fields,
		PositionZero:        decoded.Domain.Zero,
		IdleTimeout:         time.Duration(decoded.Limits.IdleClose),
		ConnectTimeout:      time.Duration(decoded.Limits.ConnectTimeout),
		DrainGrace:          time.Duration(decoded.Rules.DrainGrace),
		AnswersHavePosition: decoded.Domain.AnswersStamped,
		HedgingAllowed:      decoded.Limits.SecondCopies,
		LoadReports:         cmp.Or(decoded.Report.How, "none"),
	}
	settings.indexNames()
	return settings, nil
}

// indexNames indexes the classes and tenants by name.
func (settings *Settings) indexNames() {
	settings.classIndex, settings.tenantIndex = map[string]int{}, map[string]int{}
	for i, class := range settings.Balance.Classes {
		settings.classIndex[class.Name] = i
	}
	for i, tenant := range settings.Balance.Tenants {
		settings.tenantIndex[tenant.Name] = i
	}
}

// Class returns the index of a class in Balance.Classes, or -1 if there is no class of that name.
func (settings *Settings) Class(name string) int { return indexOf(settings.classIndex, name) }

// Tenant returns the index of a tenant in Balance.Tenants, or -1 if there is no tenant of that name.
func (settings *Settings) Tenant(name string) int { return indexOf(settings.tenantIndex, name) }

func indexOf(names map[string]int, name string) int {
	if index, ok := names[name]; ok {
		return index
	}
	return -1
}

// ValidateKey returns an error if a class is unknown, or if its requests are idempotent by key and the key is empty:
// the data servers could not detect a retry of such a request.
func (settings *Settings) ValidateKey(class, key string) error {
	index := settings.Class(class)
	if index < 0 {
		return fmt.Errorf("unknown class %.40q", class)
	}
	if settings.Balance.Classes[index].Idempotency == balance.IdempotentByKey && key == "" {
		return fmt.Errorf("class %.40q needs a key", class)
	}
	return nil
}

// IsWrite reports whether a class is a class of writes.
func (settings *Settings) IsWrite(class string) bool { return settings.classIs(class, balance.Write) }

// IsSession reports whether reads of a class must see the writes of their own session.
func (settings *Settings) IsSession(class string) bool {
	return settings.classIs(class, balance.ReadYourWrites)
}

func (settings *Settings) classIs(class string, consistency balance.Consistency) bool {
	index := settings.Class(class)
	return index >= 0 && settings.Balance.Classes[index].Consistency == consistency
}
