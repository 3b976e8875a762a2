package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// SoakResult is what one seed showed.
type SoakResult struct {
	Plan     *SoakPlan
	Profile  string
	Requests int
	Answered int
	Lives    int
	Attempts int
	Crossed  int // closed unread
	MaxLag   time.Duration
	Broken   []soakViolation
	record   *soakRecord
}

// Passed says whether all rules were kept.
func (r *SoakResult) Passed() bool { return len(r.Broken) == 0 }

// RunSoak plays a seed of a soak and audits it.
func RunSoak(ctx context.Context, e *Experiment, o Options) (*SoakResult, error) {
	return runSoakPlan(ctx, e, drawSoak(e.Soak, e.Fleet.Groups*e.Fleet.Members, o.Seed), o)
}

func runSoakPlan(ctx context.Context, e *Experiment, plan *SoakPlan, o Options) (*SoakResult, error) {
	record, err := playSoak(ctx, e, plan, o.Build, o.Dir)
	if err != nil {
		return nil, err
	}
	res := &SoakResult{Plan: plan, Profile: record.Profile.Name, Requests: len(record.Requests), Lives: len(record.Lives), Attempts: len(record.Attempts),
		Broken: record.audit(), record: record}
	for _, q := range record.Requests {
		if q.Outcome != waiting {
			res.Answered++
		} else if q.Ended && q.Gone.IsZero() {
			res.Crossed++
		}
	}
	for _, l := range record.Lags {
		res.MaxLag = max(res.MaxLag, l.To.Sub(l.From))
	}
	return res, nil
}

// Row is a line of a table of seeds.
func (r *SoakResult) Row() string {
	verdict := "kept"
	if !r.Passed() {
		verdict = fmt.Sprintf("BROKEN %d: %v", len(r.Broken), rulesOf(r.Broken))
	}
	return fmt.Sprintf("| %d | %s | %d | %v | %d | %d | %d | %d | %d | %d | %s |", r.Plan.Seed, r.Profile, r.Plan.Routers, r.Plan.Crowd, len(r.Plan.Steps), r.Lives, r.Requests,
		r.Answered, r.Attempts, r.MaxLag.Milliseconds(), verdict)
}

// SoakHead is the head of the table.
const SoakHead = "| seed | settings | routers | crowd | steps | processes | requests | answered | attempts | lag ms | rules |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

const mostPrinted = 20 // broken rules, and lines of the log for each

// Explain prints the schedule, what was broken, and the traces of the requests concerned.
func (r *SoakResult) Explain(w io.Writer, dir string) {
	fmt.Fprintf(w, "seed %d, %s, %d routers, crowd %v\n", r.Plan.Seed, r.Profile, r.Plan.Routers, r.Plan.Crowd)
	for _, s := range r.Plan.Steps {
		fmt.Fprintln(w, "  ", s)
	}
	for _, v := range r.Broken[:min(len(r.Broken), mostPrinted)] {
		fmt.Fprintf(w, "broken: %s: %s %s\n", v.Rule, v.ID, v.Text)
		r.explainRequest(w, v.ID, dir)
	}
	if n := len(r.Broken) - mostPrinted; n > 0 {
		fmt.Fprintf(w, "and %d more\n", n)
	}
}

// explainRequest prints all that the records have of a request.
func (r *SoakResult) explainRequest(w io.Writer, id, dir string) {
	if id == "" {
		return
	}
	clockTime := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.Format("15:04:05.000")
	}
	for _, q := range r.record.Requests {
		if q.ID != id {
			continue
		}
		l := r.record.Lives[q.Life]
		fmt.Fprintf(w, "    client: %s, connection %d, place %d, sent %s, waits %v, turn %s, %s at %s, ended %v, gone %s\n", q.Class, q.Conn, q.Place, clockTime(q.Sent), q.Wait,
			clockTime(q.Turn), outcomeNames[q.Outcome], clockTime(q.At), q.Ended, clockTime(q.Gone))
		fmt.Fprintf(w, "    router %d: process %d, started %s, ready %s, SIGTERM %s, ended %s %s\n", l.Router, q.Life, clockTime(l.Started), clockTime(l.Ready), clockTime(l.Term),
			clockTime(l.Ended), l.Err)
	}
	for _, t := range r.record.Attempts {
		if t.ID == id {
			fmt.Fprintf(w, "    server %s: came %s, told %v\n", t.Server, clockTime(t.At), t.Left)
		}
	}
	for n := range r.Plan.Routers {
		raw, err := os.ReadFile(filepath.Join(dir, routerName(n)+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "id="+id+" ") {
				fmt.Fprintf(w, "    log of router %d: %s", n, line)
			}
		}
	}
}

// ShortenSoak looks for a shorter schedule that breaks one of the same rules: it leaves out ever smaller parts of the steps. What meets
// in which order is the machine's, so a schedule counts as passing after one play that passes.
func ShortenSoak(ctx context.Context, e *Experiment, found *SoakResult, o Options, plays int) *SoakResult {
	rules := rulesOf(found.Broken)
	best := found
	for size := (len(found.Plan.Steps) + 1) / 2; size >= 1 && plays > 0; size /= 2 {
		for from := 0; from < len(best.Plan.Steps) && plays > 0; plays-- {
			shorter := *best.Plan
			shorter.Steps = slices.Delete(slices.Clone(best.Plan.Steps), from, min(from+size, len(best.Plan.Steps)))
			one := o
			one.Dir = filepath.Join(o.Dir, fmt.Sprintf("shorter-%d", plays))
			res, err := runSoakPlan(ctx, e, &shorter, one)
			if err == nil && slices.ContainsFunc(rulesOf(res.Broken), func(r soakRule) bool { return slices.Contains(rules, r) }) {
				best = res
			} else {
				from += size
			}
		}
	}
	return best
}

// Write keeps the plan, so that it can be read beside the logs.
func (r *SoakResult) Write(dir string) error {
	raw, err := jsoniter.MarshalIndent(r.Plan, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "plan.json"), append(raw, '\n'), 0o644)
}
