package backend

import (
	"io"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// Probe fetches an endpoint's report. It waits for the answer.
func (p *Pool) Probe(node balance.EndpointID, wait time.Duration) (Result, pgwire.Report) {
	end := time.Now().Add(wait)
	a := p.Start(node, Deadlines{Connect: end, Answer: end}, func(w io.Writer) error {
		_, err := w.Write(pgwire.AppendQuery(nil, "SHOW vitals"))
		return err
	}, nil)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var res Result
	select {
	case res = <-a.Done():
	case <-timer.C:
		res = a.Abort(balance.TimedOut)
	}
	if res.Outcome != balance.Succeeded {
		return res, pgwire.Report{}
	}
	rep, err := pgwire.ParseReport(string(res.Value))
	if err != nil {
		res.Outcome, res.Err = balance.Failed, err
	}
	return res, rep
}
