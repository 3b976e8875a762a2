package platformsettings

import (
	"fmt"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// object is the settings object as the platform writes it. Its keys are not ours to change.
type object struct {
	Balancers   int             `json:"balancers"`
	Granularity clock.Nanos     `json:"granularity"`
	Discovery   string          `json:"discovery"`
	OverShare   float64         `json:"overShareWorth"`
	Classes     []classObject   `json:"classes"`
	Customers   []tenantObject  `json:"customers"`
	Domain      domainObject    `json:"domain"`
	Limits      limitsObject    `json:"limits"`
	Penalties   penaltiesObject `json:"penalties"`
	Report      reportObject    `json:"report"`
	Rules       rulesObject     `json:"rules"`
}

type classObject struct {
	Name      string      `json:"name"`
	Effect    string      `json:"effect"`
	KeyScope  string      `json:"keyScope"`
	Objective clock.Nanos `json:"objective"`
	Deadline  clock.Nanos `json:"deadline"`
	Window    clock.Nanos `json:"window"`
	Gain      float64     `json:"gain"`
	LateWorth float64     `json:"lateWorth"`
}

type tenantObject struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quotaPerS"`
}

type domainObject struct {
	AnswersStamped bool          `json:"answersStamped"`
	Behind         string        `json:"behind"`
	ClassRead      []string      `json:"classRead"`
	LagAllowed     []clock.Nanos `json:"lagAllowed"`
	Marks          string        `json:"sessionMarks"`
	ShowsRole      string        `json:"showsRole"`
	Zero           clock.Nanos   `json:"zero"`
}

type limitsObject struct {
	Cancel         bool        `json:"cancel"`
	MaxAttempts    int         `json:"maxAttempts"`
	MaxRetryAfter  clock.Nanos `json:"maxRetryAfter"`
	MostHeld       int         `json:"mostHeld"`
	Probing        bool        `json:"probing"`
	RetryAfter     bool        `json:"retryAfter"`
	SecondCopies   bool        `json:"secondCopies"`
	IdleClose      clock.Nanos `json:"idleClose"`
	ConnectTimeout clock.Nanos `json:"connectTimeout"`
}

type penaltiesObject struct {
	LateFail  float64 `json:"lateFail"`
	Handshake float64 `json:"handshake"`
}

type reportObject struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

type rulesObject struct {
	AnswerSlack  clock.Nanos `json:"answerSlack"`
	ColdShare    float64     `json:"coldShare"`
	DrainGrace   clock.Nanos `json:"drainGrace"`
	FallMultiple float64     `json:"fallMultiple"`
	OverloadFor  clock.Nanos `json:"overloadFor"`
	RampTime     clock.Nanos `json:"rampTime"`
	SoftRemoval  bool        `json:"softRemoval"`
}

// balanceSettings is the object in the decision module's terms.
func (o *object) balanceSettings() (balance.Settings, error) {
	settings := balance.Settings{Routers: o.Balancers, BatchInterval: o.Granularity}
	for _, customer := range o.Customers {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: customer.Name, Quota: customer.Quota})
	}
	for i := range o.Classes {
		class, err := o.class(i)
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	settings.AttemptSettings = balance.AttemptSettings{
		MaxAttempts:       o.Limits.MaxAttempts,
		MaxQueued:         o.Limits.MostHeld,
		CancelAllowed:     o.Limits.Cancel,
		RetryAfterAllowed: o.Limits.RetryAfter,
		MaxRetryAfter:     o.Limits.MaxRetryAfter,
		AnswerSlack:       o.Rules.AnswerSlack,
	}
	settings.SlowStartSettings = balance.SlowStartSettings{
		ColdCapacity:     o.Rules.ColdShare,
		WarmUpTime:       o.Rules.RampTime,
		OverloadMultiple: o.Rules.FallMultiple,
		OverloadWindow:   o.Rules.OverloadFor,
	}
	settings.CostSettings = balance.CostSettings{
		OverQuotaWeight: o.OverShare,
		LateFailureCost: o.Penalties.LateFail,
		HandshakeCost:   o.Penalties.Handshake,
	}
	var err error
	settings.EndpointSettings, err = o.endpointSettings()
	return settings, err
}

func (o *object) endpointSettings() (balance.EndpointSettings, error) {
	settings := balance.EndpointSettings{
		WatchRequired:        watchRequired[o.Discovery],
		SoftRemoval:          o.Rules.SoftRemoval,
		ClientPositions:      clientPositions[o.Domain.Marks],
		ProbesAllowed:        o.Limits.Probing,
		ProbesReportPosition: o.Report.hasPosition(),
		IdleTimeout:          o.Limits.IdleClose,
	}
	var err error
	settings.LagHandling, err = LookUp(lagHandlings, "domain.behind", o.Domain.Behind)
	if err != nil {
		return settings, err
	}
	settings.RoleVisibility, err = LookUp(roleVisibilities, "domain.showsRole", o.Domain.ShowsRole)
	return settings, err
}

// hasPosition says whether a load report holds the position, which the platform calls x0.
func (r *reportObject) hasPosition() bool {
	for _, field := range r.Fields {
		if field == "x0" && r.How != "none" {
			return true
		}
	}
	return false
}

// class is one class in the decision module's terms.
func (o *object) class(i int) (balance.Class, error) {
	c := &o.Classes[i]
	class := balance.Class{
		Name:              c.Name,
		LatencyObjective:  c.Objective,
		Deadline:          c.Deadline,
		IdempotencyWindow: c.Window,
		PriorityWeight:    c.Gain,
		LateWeight:        c.LateWorth,
	}
	if i < len(o.Domain.LagAllowed) {
		class.StalenessBound = o.Domain.LagAllowed[i]
	}
	var err error
	class.Consistency, err = LookUp(consistencies, fmt.Sprintf("domain.classRead[%d]", i), o.Domain.ClassRead[i])
	if err != nil {
		return class, err
	}
	class.Idempotency, err = LookUp(idempotencies, fmt.Sprintf("classes[%d].effect", i), c.Effect)
	if err != nil {
		return class, err
	}
	class.KeyScope, err = LookUp(keyScopes, fmt.Sprintf("classes[%d].keyScope", i), c.KeyScope)
	return class, err
}
