package platformsettings

import (
	"fmt"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// object is the settings object as the platform writes it. The platform defines its keys.
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

// balanceSettings converts the object to the decision module's settings.
func (object *object) balanceSettings() (balance.Settings, error) {
	settings := balance.Settings{Routers: object.Balancers, BatchInterval: object.Granularity}
	for _, customer := range object.Customers {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: customer.Name, Quota: customer.Quota})
	}
	for i := range object.Classes {
		class, err := object.class(i)
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	settings.AttemptSettings = balance.AttemptSettings{
		MaxAttempts:       object.Limits.MaxAttempts,
		MaxQueued:         object.Limits.MostHeld,
		CancelAllowed:     object.Limits.Cancel,
		RetryAfterAllowed: object.Limits.RetryAfter,
		MaxRetryAfter:     object.Limits.MaxRetryAfter,
		AnswerSlack:       object.Rules.AnswerSlack,
	}
	settings.SlowStartSettings = balance.SlowStartSettings{
		ColdCapacity:     object.Rules.ColdShare,
		WarmUpTime:       object.Rules.RampTime,
		OverloadMultiple: object.Rules.FallMultiple,
		OverloadWindow:   object.Rules.OverloadFor,
	}
	settings.CostSettings = balance.CostSettings{
		OverQuotaWeight: object.OverShare,
		LateFailureCost: object.Penalties.LateFail,
		HandshakeCost:   object.Penalties.Handshake,
	}
	var err error
	settings.EndpointSettings, err = object.endpointSettings()
	return settings, err
}

// endpointSettings converts the settings about endpoints.
func (object *object) endpointSettings() (balance.EndpointSettings, error) {
	settings := balance.EndpointSettings{
		WatchRequired:        watchRequired[object.Discovery],
		SoftRemoval:          object.Rules.SoftRemoval,
		ClientPositions:      clientPositions[object.Domain.Marks],
		ProbesAllowed:        object.Limits.Probing,
		ProbesReportPosition: object.Report.hasPosition(),
		IdleTimeout:          object.Limits.IdleClose,
	}
	var err error
	settings.LagHandling, err = LookUp(lagHandlings, "domain.behind", object.Domain.Behind)
	if err != nil {
		return settings, err
	}
	settings.RoleVisibility, err = LookUp(roleVisibilities, "domain.showsRole", object.Domain.ShowsRole)
	return settings, err
}

// hasPosition reports whether load reports contain the log position, whose name in the settings object is x0.
func (report *reportObject) hasPosition() bool {
	for _, field := range report.Fields {
		if field == "x0" && report.How != "none" {
			return true
		}
	}
	return false
}

// class converts the class with the given index.
func (object *object) class(index int) (balance.Class, error) {
	original := &object.Classes[index]
	class := balance.Class{
		Name:              original.Name,
		LatencyObjective:  original.Objective,
		Deadline:          original.Deadline,
		IdempotencyWindow: original.Window,
		PriorityWeight:    original.Gain,
		LateWeight:        original.LateWorth,
	}
	if index < len(object.Domain.LagAllowed) {
		class.StalenessBound = object.Domain.LagAllowed[index]
	}
	var err error
	class.Consistency, err = LookUp(consistencies, fmt.Sprintf("domain.classRead[%d]", index), object.Domain.ClassRead[index])
	if err != nil {
		return class, err
	}
	class.Idempotency, err = LookUp(idempotencies, fmt.Sprintf("classes[%d].effect", index), original.Effect)
	if err != nil {
		return class, err
	}
	class.KeyScope, err = LookUp(keyScopes, fmt.Sprintf("classes[%d].keyScope", index), original.KeyScope)
	return class, err
}
