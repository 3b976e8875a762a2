package balance

import (
	"errors"
	"fmt"
)

// validate names each field that a router can't work with.
func validate(s *Settings) error {
	var errs []error
	check := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: missing or out of range", field))
		}
	}
	check(len(s.Classes) > 0 && s.Granularity > 0, "Classes, Granularity")
	check(min(s.Instances, s.MaxAttempts, s.MaxHeld) > 0, "Instances, MaxAttempts, MaxHeld")
	check(s.ColdShare >= 0 && s.ColdShare <= 1, "ColdShare")
	check(min(s.RampTime, s.OverloadFor, s.MaxRetryAfter) >= 0, "RampTime, OverloadFor, MaxRetryAfter")
	check(min(s.LateFailPrice, s.HandshakePrice) >= 0, "LateFailPrice, HandshakePrice")
	check(s.OverShareWorth >= 0 && s.FallMultiple >= 0, "OverShareWorth, FallMultiple")
	check(min(s.IdleClose, s.AnswerSlack) >= 0, "IdleClose, AnswerSlack")
	for i := range s.Classes {
		c, name := &s.Classes[i], fmt.Sprintf("Classes[%d].", i)
		check(min(c.Aim, c.Deadline) > 0, name+"Aim, Deadline")
		check(min(c.Worth, c.LateWorth) >= 0, name+"Worth, LateWorth")
		check(c.Read != Bounded || c.Bound > 0, name+"Bound")
	}
	return errors.Join(errs...)
}

// quotas are the tenants', in order.
func (s *Settings) quotas() (rates []float64) {
	for _, t := range s.Tenants {
		rates = append(rates, t.Quota)
	}
	return rates
}
