package backend

import (
	"io"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// Probe fetches an endpoint's load report. It blocks until the answer arrives or the timeout expires.
func (pool *Pool) Probe(endpoint balance.EndpointID, timeout time.Duration) (Result, pgwire.Report) {
	deadline := time.Now().Add(timeout)
	attempt := pool.Start(endpoint, Deadlines{Connect: deadline, Answer: deadline}, func(out io.Writer) error {
		_, err := out.Write(pgwire.AppendQuery(nil, "SHOW vitals"))
		return err
	}, nil)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var result Result
	select {
	case result = <-attempt.Done():
	case <-timer.C:
		result = attempt.Abort(balance.TimedOut)
	}
	if result.Outcome != balance.Succeeded {
		return result, pgwire.Report{}
	}
	report, err := pgwire.ParseReport(string(result.Value))
	if err != nil {
		result.Outcome, result.Err = balance.Failed, err
	}
	return result, report
}
