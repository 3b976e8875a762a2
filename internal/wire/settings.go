// Package wire translates between the simulator's JSON dialect and the types
// of package balance. It decides nothing.
package wire

import (
	"fmt"

	"lotushook/balance"
)

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
		Behind     string          `json:"behind"`
		ClassRead  []string        `json:"classRead"`
		LagAllowed []balance.Nanos `json:"lagAllowed"`
		Marks      string          `json:"sessionMarks"`
		ShowsRole  string          `json:"showsRole"`
		Zero       balance.Nanos   `json:"zero"`
	} `json:"domain"`
	Limits struct {
		Cancel        bool          `json:"cancel"`
		MaxAttempts   int           `json:"maxAttempts"`
		MaxRetryAfter balance.Nanos `json:"maxRetryAfter"`
		MostHeld      int           `json:"mostHeld"`
		Probing       bool          `json:"probing"`
		RetryAfter    bool          `json:"retryAfter"`
	} `json:"limits"`
	Penalties struct {
		LateFail float64 `json:"lateFail"`
	} `json:"penalties"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AnswerSlack  balance.Nanos `json:"answerSlack"`
		ColdShare    float64       `json:"coldShare"`
		FallMultiple float64       `json:"fallMultiple"`
		OverloadFor  balance.Nanos `json:"overloadFor"`
		RampTime     balance.Nanos `json:"rampTime"`
		SoftRemoval  bool          `json:"softRemoval"`
	} `json:"rules"`
}

var (
	reads = map[string]balance.Read{"eventual": balance.Any, "lag_bound": balance.Bounded,
		"causal": balance.Session, "strong": balance.Fresh, "mutate": balance.Write}
	effects = map[string]balance.Effect{"free": balance.Safe, "guarded": balance.Keyed,
		"single_shot": balance.Unsafe}
	scopes = map[string]balance.KeyScope{"": balance.ScopeAll, "all": balance.ScopeAll,
		"zone": balance.ScopeZone, "cell": balance.ScopeGroup}
	behinds = map[string]balance.Behind{"": balance.BehindNone, "none": balance.BehindNone,
		"bounce": balance.BehindRefuse, "await": balance.BehindWait}
	roleViews = map[string]balance.RoleView{"": balance.RoleHidden, "none": balance.RoleHidden,
		"static": balance.RoleStatic, "trailing": balance.RoleTrailing}
	outcomes = map[string]balance.Outcome{"done": balance.Done, "err": balance.Failed,
		"busy": balance.Busy, "etimedout": balance.TimedOut, "econnrefused": balance.Refused,
		"econnreset": balance.Reset, "ecanceled": balance.Canceled, "skipped": balance.Skipped,
		"enoent": balance.Miss}
	lifecycles = map[string]balance.Lifecycle{"": balance.Ready, "ready": balance.Ready,
		"draining": balance.Draining, "gone": balance.Gone}
)

// word looks up one of the dialect's words.
func word[T any](table map[string]T, field, text string) (T, error) {
	v, ok := table[text]
	if !ok {
		return v, fmt.Errorf("%s: unknown word %q", field, text)
	}
	return v, nil
}

func (c envClass) class(read string, bound balance.Nanos) (balance.Class, error) {
	out := balance.Class{Name: c.Name, Aim: c.Objective, Deadline: c.Deadline, Window: c.Window,
		Bound: bound, Worth: c.Gain, LateWorth: c.LateWorth}
	var err error
	if out.Read, err = word(reads, "classRead", read); err != nil {
		return out, err
	}
	if out.Effect, err = word(effects, "effect", c.Effect); err != nil {
		return out, err
	}
	out.Scope, err = word(scopes, "keyScope", c.KeyScope)
	return out, err
}

func (e *env) settings() (balance.Settings, error) {
	s := balance.Settings{Instances: e.Balancers, Granularity: e.Granularity,
		Subscribe:    e.Discovery == "subscribe",
		CarriedToken: e.Domain.Marks == "brought",
		Cancel:       e.Limits.Cancel, Probing: e.Limits.Probing,
		RetryAfter: e.Limits.RetryAfter, MaxAttempts: e.Limits.MaxAttempts, MaxHeld: e.Limits.MostHeld,
		MaxRetryAfter: e.Limits.MaxRetryAfter, ColdShare: e.Rules.ColdShare, RampTime: e.Rules.RampTime,
		FallMultiple: e.Rules.FallMultiple, OverloadFor: e.Rules.OverloadFor,
		AnswerSlack: e.Rules.AnswerSlack, SoftRemoval: e.Rules.SoftRemoval,
		OverShareWorth: e.OverShare, LateFailPrice: e.Penalties.LateFail}
	for _, f := range e.Report.Fields {
		s.ProbeReports = s.ProbeReports || (f == "x0" && e.Report.How != "none")
	}
	for _, c := range e.Customers {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: c.Name, Quota: c.Quota})
	}
	if len(e.Domain.ClassRead) < len(e.Classes) {
		return s, fmt.Errorf("classRead: %d entries for %d classes", len(e.Domain.ClassRead), len(e.Classes))
	}
	for i, c := range e.Classes {
		var bound balance.Nanos
		if i < len(e.Domain.LagAllowed) {
			bound = e.Domain.LagAllowed[i]
		}
		class, err := c.class(e.Domain.ClassRead[i], bound)
		if err != nil {
			return s, fmt.Errorf("class %q: %w", c.Name, err)
		}
		s.Classes = append(s.Classes, class)
	}
	var err error
	if s.Behind, err = word(behinds, "behind", e.Domain.Behind); err != nil {
		return s, err
	}
	s.RoleView, err = word(roleViews, "showsRole", e.Domain.ShowsRole)
	return s, err
}
