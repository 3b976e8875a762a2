package platformsettings

import (
	"fmt"
	"math"

	"lotushook/policy/clock"
)

// FieldError describes a missing or invalid field of the settings object.
type FieldError struct {
	Field   string // path in the settings object
	Problem string // what is wrong with it
	Remedy  string // what to write
}

// Error implements the error interface.
func (err *FieldError) Error() string { return err.Field + ": " + err.Problem + "; " + err.Remedy }

// Kind implements operr.Error.
func (*FieldError) Kind() string { return "settings-field" }

// Hint implements operr.Error.
func (err *FieldError) Hint() string {
	return fmt.Sprintf("have the platform correct settings.%s: %s", err.Field, err.Remedy)
}

// check returns a FieldError for each field that is missing or out of range. A field with a default is never missing,
// and unknown keys are ignored.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (settings *object) check() error {
	var errs []error
	require := func(ok bool, field, problem, remedy string, args ...any) {
		if !ok {
			errs = append(errs, &FieldError{field, problem, fmt.Sprintf(remedy, args...)})
		}
	}
	requirePositive := func(value int64, field string) {
		require(value > 0, field, fmt.Sprintf("missing, or %d", value), "write a whole number above 0")
	}
	requireRange := func(value, maximum float64, field string) {
		remedy := "write 0 or more"
		if !math.IsInf(maximum, 0) {
			remedy = fmt.Sprintf("write a number from 0 to %g", maximum)
		}
		require(value >= 0 && value <= maximum, field, fmt.Sprintf("%g is out of range", value), "%s", remedy)
	}
	requireNonNegative := func(value clock.Nanos, field string) { requireRange(float64(value), math.Inf(1), field) }
	appendError := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}

	requirePositive(int64(settings.Balancers), "balancers")
	requirePositive(settings.Granularity, "granularity")
	_, err := LookUp(watchRequired, "discovery", settings.Discovery)
	appendError(err)
	requireRange(settings.OverShare, math.Inf(1), "overShareWorth")
	require(len(settings.Classes) > 0, "classes", "missing or empty", "write at least one class")
	require(len(settings.Domain.ClassRead) >= len(settings.Classes), "domain.classRead",
		fmt.Sprintf("%d entries for %d classes", len(settings.Domain.ClassRead), len(settings.Classes)), "write one for each class")
	for i, entry := range settings.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		require(entry.Name != "", path+"name", "missing", "write the name that requests give as c")
		requirePositive(entry.Objective, path+"objective")
		requirePositive(entry.Deadline, path+"deadline")
		requireNonNegative(entry.Window, path+"window")
		requireRange(entry.Gain, math.Inf(1), path+"gain")
		requireRange(entry.LateWorth, math.Inf(1), path+"lateWorth")
		if i < len(settings.Domain.ClassRead) && settings.Domain.ClassRead[i] == "lag_bound" {
			require(i < len(settings.Domain.LagAllowed) && settings.Domain.LagAllowed[i] > 0, fmt.Sprintf("domain.lagAllowed[%d]", i), "missing or not above 0",
				"write the greatest age for class %q in ns", entry.Name)
		}
	}
	for i, entry := range settings.Customers {
		path := fmt.Sprintf("customers[%d].", i)
		require(entry.Name != "", path+"name", "missing", "write the name that requests give as t")
		requireRange(entry.Quota, math.Inf(1), path+"quotaPerS")
	}
	_, err = LookUp(clientPositions, "domain.sessionMarks", settings.Domain.Marks)
	appendError(err)
	_, err = LookUp(loadReports, "report.how", settings.Report.How)
	appendError(err)
	requirePositive(int64(settings.Limits.MaxAttempts), "limits.maxAttempts")
	requirePositive(int64(settings.Limits.MostHeld), "limits.mostHeld")
	requireNonNegative(settings.Limits.MaxRetryAfter, "limits.maxRetryAfter")
	requireNonNegative(settings.Limits.IdleClose, "limits.idleClose")
	requireNonNegative(settings.Limits.ConnectTimeout, "limits.connectTimeout")
	requireRange(settings.Penalties.LateFail, math.Inf(1), "penalties.lateFail")
	requireRange(settings.Penalties.Handshake, math.Inf(1), "penalties.handshake")
	requireNonNegative(settings.Rules.AnswerSlack, "rules.answerSlack")
	requireRange(settings.Rules.ColdShare, 1, "rules.coldShare")
	requireRange(settings.Rules.FallMultiple, math.Inf(1), "rules.fallMultiple")
	requireNonNegative(settings.Rules.OverloadFor, "rules.overloadFor")
	requireNonNegative(settings.Rules.RampTime, "rules.rampTime")
	requireNonNegative(settings.Rules.DrainGrace, "rules.drainGrace")
	return oneLine(errs)
}

// oneLine joins errors into one whose message is a single line.
func oneLine(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	joined := errs[0]
	for _, err := range errs[1:] {
		joined = fmt.Errorf("%w; %w", joined, err)
	}
	return joined
}

// ValidateForServing validates the fields that a router needs to serve clients and that the simulator does not send.
func (settings *Settings) ValidateForServing() error {
	if settings.IdleTimeout <= 0 {
		return &FieldError{"limits.idleClose", "missing, or 0", "write after how many ns a data server closes an idle connection"}
	}
	if settings.ConnectTimeout <= 0 {
		return &FieldError{"limits.connectTimeout", "missing, or 0", "write after how many ns a connection that is not up has failed"}
	}
	return nil
}
