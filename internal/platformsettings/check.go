package platformsettings

import (
	"fmt"
	"math"

	"lotushook/policy/clock"
)

// FieldError is a field of the settings object that no router can work with.
type FieldError struct {
	Field string // its path
	What  string // what is wrong with it
	Do    string // what to write
}

// Error implements the error interface.
func (e *FieldError) Error() string { return e.Field + ": " + e.What + "; " + e.Do }

// Kind is the same for all fields.
func (*FieldError) Kind() string { return "settings-field" }

// Hint is for whoever reads the line.
func (e *FieldError) Hint() string {
	return fmt.Sprintf("have the platform correct settings.%s: %s", e.Field, e.Do)
}

// check names the fields that are missing or out of range, each once. What can be
// told by default is not missing, and keys that no router reads are not looked at.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (o *object) check() error {
	var errs []error
	say := func(ok bool, field, what, do string, args ...any) {
		if !ok {
			errs = append(errs, &FieldError{field, what, fmt.Sprintf(do, args...)})
		}
	}
	above := func(v int64, field string) {
		say(v > 0, field, fmt.Sprintf("missing, or %d", v), "write a whole number above 0")
	}
	within := func(v, most float64, field string) {
		do := "write 0 or more"
		if !math.IsInf(most, 0) {
			do = fmt.Sprintf("write a number from 0 to %g", most)
		}
		say(v >= 0 && v <= most, field, fmt.Sprintf("%g is out of range", v), "%s", do)
	}
	least := func(v clock.Nanos, field string) { within(float64(v), math.Inf(1), field) }
	word := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}

	above(int64(o.Balancers), "balancers")
	above(o.Granularity, "granularity")
	_, err := LookUp(watchRequired, "discovery", o.Discovery)
	word(err)
	within(o.OverShare, math.Inf(1), "overShareWorth")
	say(len(o.Classes) > 0, "classes", "missing or empty", "write at least one class")
	say(len(o.Domain.ClassRead) >= len(o.Classes), "domain.classRead",
		fmt.Sprintf("%d entries for %d classes", len(o.Domain.ClassRead), len(o.Classes)), "write one for each class")
	for i, c := range o.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		say(c.Name != "", at+"name", "missing", "write the name that requests give as c")
		above(c.Objective, at+"objective")
		above(c.Deadline, at+"deadline")
		least(c.Window, at+"window")
		within(c.Gain, math.Inf(1), at+"gain")
		within(c.LateWorth, math.Inf(1), at+"lateWorth")
		if i < len(o.Domain.ClassRead) && o.Domain.ClassRead[i] == "lag_bound" {
			say(i < len(o.Domain.LagAllowed) && o.Domain.LagAllowed[i] > 0, fmt.Sprintf("domain.lagAllowed[%d]", i), "missing or not above 0",
				"write the greatest age for class %q in ns", c.Name)
		}
	}
	for i, c := range o.Customers {
		at := fmt.Sprintf("customers[%d].", i)
		say(c.Name != "", at+"name", "missing", "write the name that requests give as t")
		within(c.Quota, math.Inf(1), at+"quotaPerS")
	}
	_, err = LookUp(clientPositions, "domain.sessionMarks", o.Domain.Marks)
	word(err)
	_, err = LookUp(loadReports, "report.how", o.Report.How)
	word(err)
	above(int64(o.Limits.MaxAttempts), "limits.maxAttempts")
	above(int64(o.Limits.MostHeld), "limits.mostHeld")
	least(o.Limits.MaxRetryAfter, "limits.maxRetryAfter")
	least(o.Limits.IdleClose, "limits.idleClose")
	least(o.Limits.ConnectTimeout, "limits.connectTimeout")
	within(o.Penalties.LateFail, math.Inf(1), "penalties.lateFail")
	within(o.Penalties.Handshake, math.Inf(1), "penalties.handshake")
	least(o.Rules.AnswerSlack, "rules.answerSlack")
	within(o.Rules.ColdShare, 1, "rules.coldShare")
	within(o.Rules.FallMultiple, math.Inf(1), "rules.fallMultiple")
	least(o.Rules.OverloadFor, "rules.overloadFor")
	least(o.Rules.RampTime, "rules.rampTime")
	least(o.Rules.DrainGrace, "rules.drainGrace")
	return oneLine(errs)
}

// oneLine joins errors so that they print on a single line.
func oneLine(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	out := errs[0]
	for _, err := range errs[1:] {
		out = fmt.Errorf("%w; %w", out, err)
	}
	return out
}

// Serveable names the fields that only a router on sockets needs.
func (s *Settings) Serveable() error {
	if s.IdleTimeout <= 0 {
		return &FieldError{"limits.idleClose", "missing, or 0", "write after how many ns a data server closes an idle connection"}
	}
	if s.ConnectTimeout <= 0 {
		return &FieldError{"limits.connectTimeout", "missing, or 0", "write after how many ns a connection that is not up has failed"}
	}
	return nil
}
