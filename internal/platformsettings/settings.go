// Package platformsettings turns the platform's settings object, which the simulator's first message and a router's
// configuration share, into the decision module's types.
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

// Settings is the settings object as one router uses it.
type Settings struct {
	Balance        balance.Settings
	ReportFields   []string      // what a load report holds, in order
	PositionZero   clock.Nanos   // the simulator's positions count from here
	IdleTimeout    time.Duration // data servers close connections that were idle so long
	ConnectTimeout time.Duration // a connection not up by then has failed
	DrainGrace     time.Duration // sends to an endpoint stop within it after a drain or removal; 0: not told

	AnswersHavePosition bool   // every answer reports one
	HedgingAllowed      bool   // two attempts of one request may be in flight together
	LoadReports         string // where load reports are: "answers", "probe" or "none"

	classIndex, tenantIndex map[string]int
}

// Parse reads a settings object. Keys that it doesn't know are passed over.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) == 0 {
		return nil, errors.New("no settings object")
	}
	var o object
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &o); err != nil {
		if where := strictjson.Kinds(raw, &object{}); where != nil { // it names the field
			return nil, where
		}
		return nil, err
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	balanceSettings, err := o.balanceSettings()
	if err != nil {
		return nil, err
	}
	settings := &Settings{
		Balance:             balanceSettings,
		ReportFields:        o.Report.Fields,
		PositionZero:        o.Domain.Zero,
		IdleTimeout:         time.Duration(o.Limits.IdleClose),
		ConnectTimeout:      time.Duration(o.Limits.ConnectTimeout),
		DrainGrace:          time.Duration(o.Rules.DrainGrace),
		AnswersHavePosition: o.Domain.AnswersStamped,
		HedgingAllowed:      o.Limits.SecondCopies,
		LoadReports:         cmp.Or(o.Report.How, "none"),
	}
	settings.indexNames()
	return settings, nil
}

func (s *Settings) indexNames() {
	s.classIndex, s.tenantIndex = map[string]int{}, map[string]int{}
	for i, class := range s.Balance.Classes {
		s.classIndex[class.Name] = i
	}
	for i, tenant := range s.Balance.Tenants {
		s.tenantIndex[tenant.Name] = i
	}
}

// Class is the index of a class in Balance.Classes, -1 when there is none of that name.
func (s *Settings) Class(name string) int { return indexOf(s.classIndex, name) }

// Tenant is the index of a tenant in Balance.Tenants, -1 when there is none of that name.
func (s *Settings) Tenant(name string) int { return indexOf(s.tenantIndex, name) }

func indexOf(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return -1
}

// Usable says whether a request of a class may be made with an idempotency key: the class is known, and one whose requests
// are idempotent by key has a key, or a repeat could not be dropped.
func (s *Settings) Usable(class, key string) error {
	i := s.Class(class)
	if i < 0 {
		return fmt.Errorf("unknown class %.40q", class)
	}
	if s.Balance.Classes[i].Idempotency == balance.IdempotentByKey && key == "" {
		return fmt.Errorf("class %.40q needs a key", class)
	}
	return nil
}

// IsWrite says whether a class of that name is one of writes.
func (s *Settings) IsWrite(class string) bool { return s.hasConsistency(class, balance.Write) }

// IsSession says whether a class's reads must see their session's own writes.
func (s *Settings) IsSession(class string) bool {
	return s.hasConsistency(class, balance.ReadYourWrites)
}

func (s *Settings) hasConsistency(class string, consistency balance.Consistency) bool {
	i := s.Class(class)
	return i >= 0 && s.Balance.Classes[i].Consistency == consistency
}
