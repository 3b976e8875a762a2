// Package settings turns the settings object, which the simulator's first
// message and a router's configuration share, into the module's types.
package platformsettings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/strictjson"
	"lotushook/policy/balance"
)

// Settings is the settings object as one router uses it.
type Settings struct {
	Balance        balance.Settings
	Fields         []string      // what a load report holds, in order
	Zero           balance.Nanos // the simulator's positions count from here
	IdleClose      time.Duration // data servers close connections that stood idle so long
	ConnectTimeout time.Duration // a connection not up by then has failed
	DrainGrace     time.Duration // sends to a server have to stop within it once it was told that it drains or is gone; 0: not told

	Positions    bool   // every answer tells one
	SecondCopies bool   // two attempts of one request may be out together
	Reports      string // where load reports are: "answers", "probe" or "none"

	classes, tenants map[string]int
}

// Parse reads a settings object. Keys that it doesn't know are passed over.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) == 0 {
		return nil, errors.New("no settings object")
	}
	var e env
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &e); err != nil {
		if where := strictjson.Kinds(raw, &env{}); where != nil { // it tells the field
			return nil, where
		}
		return nil, err
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	b, err := e.settings()
	if err != nil {
		return nil, err
	}
	s := &Settings{Balance: b, Fields: e.Report.Fields, Zero: e.Domain.Zero,
		IdleClose: time.Duration(e.Limits.IdleClose), ConnectTimeout: time.Duration(e.Limits.ConnectTimeout),
		DrainGrace: time.Duration(e.Rules.DrainGrace),
		Positions:  e.Domain.AnswersStamped, SecondCopies: e.Limits.SecondCopies, Reports: cmp.Or(e.Report.How, "none"),
		classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range b.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range b.Tenants {
		s.tenants[t.Name] = i
	}
	return s, nil
}

// Class is the index of a class in Balance.Classes, -1 when there is none of that name.
func (s *Settings) Class(name string) int { return index(s.classes, name) }

// Usable says whether a request of a class may be made, with this key: the class
// is known, and a keyed one has a key, or a repeat could not be dropped.
func (s *Settings) Usable(class, key string) error {
	i := s.Class(class)
	if i < 0 {
		return fmt.Errorf("unknown class %.40q", class)
	}
	if s.Balance.Classes[i].Effect == balance.Keyed && key == "" {
		return fmt.Errorf("class %.40q needs a key", class)
	}
	return nil
}

// IsWrite says whether a class of that name is one of writes.
func (s *Settings) IsWrite(class string) bool {
	i := s.Class(class)
	return i >= 0 && s.Balance.Classes[i].Read == balance.Write
}

// IsSession says whether a class's reads must see their session's own writes.
func (s *Settings) IsSession(class string) bool {
	i := s.Class(class)
	return i >= 0 && s.Balance.Classes[i].Read == balance.Session
}

// Tenant is the index of a tenant in Balance.Tenants, -1 when there is none of that name.
func (s *Settings) Tenant(name string) int { return index(s.tenants, name) }

func index(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return -1
}

type envClass struct {
	Name      string        `json:"name"`
	Effect    string        `json:"effect"`
	KeyScope  string        `json:"keyScope"`
	Objective balance.Nanos `json:"objective"`
	Deadline  balance.Nanos `json:"deadline"`
	Window    balance.Nanos `json:"window"`
	Gain      float64       `json:"gain"`
	LateWorth float64       `json:"lateWorth"`
}

type env struct {
	Balancers   int           `json:"balancers"`
	Granularity balance.Nanos `json:"granularity"`
	Discovery   string        `json:"discovery"`
	OverShare   float64       `json:"overShareWorth"`
	Classes     []envClass    `json:"classes"`
	Customers   []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
	} `json:"customers"`
	Domain struct {
		AnswersStamped bool            `json:"answersStamped"`
		Behind         string          `json:"behind"`
		ClassRead      []string        `json:"classRead"`
		LagAllowed     []balance.Nanos `json:"lagAllowed"`
		Marks          string          `json:"sessionMarks"`
		ShowsRole      string          `json:"showsRole"`
		Zero           balance.Nanos   `json:"zero"`
	} `json:"domain"`
	Limits struct {
		Cancel         bool          `json:"cancel"`
		MaxAttempts    int           `json:"maxAttempts"`
		MaxRetryAfter  balance.Nanos `json:"maxRetryAfter"`
		MostHeld       int           `json:"mostHeld"`
		Probing        bool          `json:"probing"`
		RetryAfter     bool          `json:"retryAfter"`
		SecondCopies   bool          `json:"secondCopies"`
		IdleClose      balance.Nanos `json:"idleClose"`
		ConnectTimeout balance.Nanos `json:"connectTimeout"`
	} `json:"limits"`
	Penalties struct {
		LateFail  float64 `json:"lateFail"`
		Handshake float64 `json:"handshake"`
	} `json:"penalties"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AnswerSlack  balance.Nanos `json:"answerSlack"`
		ColdShare    float64       `json:"coldShare"`
		DrainGrace   balance.Nanos `json:"drainGrace"`
		FallMultiple float64       `json:"fallMultiple"`
		OverloadFor  balance.Nanos `json:"overloadFor"`
		RampTime     balance.Nanos `json:"rampTime"`
		SoftRemoval  bool          `json:"softRemoval"`
	} `json:"rules"`
}

var (
	reads = map[string]balance.Read{"eventual": balance.Any, "lag_bound": balance.Bounded,
		"causal": balance.Session, "strong": balance.Fresh, "mutate": balance.Write}
	lists   = map[string]bool{"": false, "automatic": false, "subscribe": true}         // asked for?
	marks   = map[string]bool{"": false, "none": false, "kept": false, "brought": true} // carried?
	reports = map[string]bool{"": false, "none": false, "probe": true, "answers": true}
	effects = map[string]balance.Effect{"free": balance.Safe, "guarded": balance.Keyed,
		"single_shot": balance.Unsafe}
	scopes = map[string]balance.KeyScope{"": balance.ScopeAll, "all": balance.ScopeAll,
		"zone": balance.ScopeZone, "cell": balance.ScopeGroup}
	behinds = map[string]balance.Behind{"": balance.BehindNone, "none": balance.BehindNone,
		"bounce": balance.BehindRefuse, "await": balance.BehindWait}
	roleViews = map[string]balance.RoleView{"": balance.RoleHidden, "none": balance.RoleHidden,
		"static": balance.RoleStatic, "trailing": balance.RoleTrailing}
)

// Word looks up one of the dialect's words.
func Word[T any](table map[string]T, field, text string) (T, error) {
	v, ok := table[text]
	if !ok {
		words := slices.Sorted(maps.Keys(table))
		return v, &FieldError{field, fmt.Sprintf("unknown word %.40q", text), "write one of " + strings.Join(slices.DeleteFunc(words, isEmpty), ", ")}
	}
	return v, nil
}

func isEmpty(s string) bool { return s == "" }

func (c envClass) class(path, read string, bound balance.Nanos) (balance.Class, error) {
	out := balance.Class{Name: c.Name, Aim: c.Objective, Deadline: c.Deadline, Window: c.Window,
		Bound: bound, Worth: c.Gain, LateWorth: c.LateWorth}
	var err error
	if out.Read, err = Word(reads, "domain.classRead"+path, read); err != nil {
		return out, err
	}
	if out.Effect, err = Word(effects, "classes"+path+".effect", c.Effect); err != nil {
		return out, err
	}
	out.Scope, err = Word(scopes, "classes"+path+".keyScope", c.KeyScope)
	return out, err
}

func (e *env) settings() (balance.Settings, error) {
	s := balance.Settings{Instances: e.Balancers, Granularity: e.Granularity,
		Subscribe: lists[e.Discovery], CarriedToken: marks[e.Domain.Marks],
		Cancel: e.Limits.Cancel, Probing: e.Limits.Probing,
		RetryAfter: e.Limits.RetryAfter, MaxAttempts: e.Limits.MaxAttempts, MaxHeld: e.Limits.MostHeld,
		MaxRetryAfter: e.Limits.MaxRetryAfter, ColdShare: e.Rules.ColdShare, RampTime: e.Rules.RampTime,
		FallMultiple: e.Rules.FallMultiple, OverloadFor: e.Rules.OverloadFor,
		AnswerSlack: e.Rules.AnswerSlack, SoftRemoval: e.Rules.SoftRemoval,
		OverShareWorth: e.OverShare, LateFailPrice: e.Penalties.LateFail,
		HandshakePrice: e.Penalties.Handshake, IdleClose: e.Limits.IdleClose}
	for _, f := range e.Report.Fields {
		s.ProbeReports = s.ProbeReports || (f == "x0" && e.Report.How != "none")
	}
	for _, c := range e.Customers {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: c.Name, Quota: c.Quota})
	}
	for i, c := range e.Classes {
		var bound balance.Nanos
		if i < len(e.Domain.LagAllowed) {
			bound = e.Domain.LagAllowed[i]
		}
		class, err := c.class(fmt.Sprintf("[%d]", i), e.Domain.ClassRead[i], bound)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	var err error
	if s.Behind, err = Word(behinds, "domain.behind", e.Domain.Behind); err != nil {
		return s, err
	}
	s.RoleView, err = Word(roleViews, "domain.showsRole", e.Domain.ShowsRole)
	return s, err
}
