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

// SoakResult is the outcome of one run of a soak.
type SoakResult struct {
	Plan         *SoakPlan
	Profile      string
	Requests     int
	Answered     int
	Processes    int
	Attempts     int
	ClosedUnread int // requests whose connection was closed before the router had read them
	MaxLag       time.Duration
	Violations   []soakViolation
	record       *soakRecord
}

// Passed reports whether no rule was violated.
func (result *SoakResult) Passed() bool { return len(result.Violations) == 0 }

// RunSoak runs the plan of a seed and audits it.
func RunSoak(ctx context.Context, experiment *Experiment, options Options) (*SoakResult, error) {
	return runSoakPlan(ctx, experiment, drawSoak(experiment.Soak, experiment.Fleet.Groups*experiment.Fleet.Members, options.Seed), options)
}

func runSoakPlan(ctx context.Context, experiment *Experiment, plan *SoakPlan, options Options) (*SoakResult, error) {
	record, err := executeSoak(ctx, experiment, plan, options.Build, options.Dir)
	if err != nil {
		return nil, err
	}
	result := &SoakResult{Plan: plan, Profile: record.Profile.Name, Requests: len(record.Requests), Processes: len(record.Processes), Attempts: len(record.Attempts),
		Violations: record.audit(), record: record}
	for _, request := range record.Requests {
		if request.Outcome != waiting {
			result.Answered++
		} else if request.Ended && request.LeftAt.IsZero() {
			result.ClosedUnread++
		}
	}
	for _, lag := range record.Lags {
		result.MaxLag = max(result.MaxLag, lag.To.Sub(lag.From))
	}
	return result, nil
}

// TableRow returns the result as a line of the table of seeds.
func (result *SoakResult) TableRow() string {
	verdict := "kept"
	if !result.Passed() {
		verdict = fmt.Sprintf("BROKEN %d: %v", len(result.Violations), brokenRules(result.Violations))
	}
	return fmt.Sprintf("| %d | %s | %d | %v | %d | %d | %d | %d | %d | %d | %s |", result.Plan.Seed, result.Profile, result.Plan.Routers, result.Plan.IdleCrowd, len(result.Plan.Steps), result.Processes, result.Requests,
		result.Answered, result.Attempts, result.MaxLag.Milliseconds(), verdict)
}

// SoakTableHeader is the header of the table of seeds.
const SoakTableHeader = "| seed | settings | routers | crowd | steps | processes | requests | answered | attempts | lag ms | rules |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

const maxPrinted = 20 // maximum number of violations to print

// Explain prints the schedule, the violations, and the traces of their requests.
func (result *SoakResult) Explain(w io.Writer, dir string) {
	fmt.Fprintf(w, "seed %d, %s, %d routers, crowd %v\n", result.Plan.Seed, result.Profile, result.Plan.Routers, result.Plan.IdleCrowd)
	for _, step := range result.Plan.Steps {
		fmt.Fprintln(w, "  ", step)
	}
	for _, violation := range result.Violations[:min(len(result.Violations), maxPrinted)] {
		fmt.Fprintf(w, "broken: %s: %s %s\n", violation.Rule, violation.ID, violation.Text)
		result.explainRequest(w, violation.ID, dir)
	}
	if more := len(result.Violations) - maxPrinted; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}

// explainRequest prints everything that was recorded about a request.
func (result *SoakResult) explainRequest(w io.Writer, id, dir string) {
	if id == "" {
		return
	}
	clockTime := func(at time.Time) string {
		if at.IsZero() {
			return "-"
		}
		return at.Format("15:04:05.000")
	}
	for _, request := range result.record.Requests {
		if request.ID != id {
			continue
		}
		process := result.record.Processes[request.Process]
		fmt.Fprintf(w, "    client: %s, connection %d, place %d, sent %s, waits %v, turn %s, %s at %s, ended %v, gone %s\n", request.Class, request.Conn, request.Index, clockTime(request.Sent), request.Wait,
			clockTime(request.PrecedingAt), outcomeNames[request.Outcome], clockTime(request.At), request.Ended, clockTime(request.LeftAt))
		fmt.Fprintf(w, "    router %d: process %d, started %s, ready %s, SIGTERM %s, ended %s %s\n", process.Router, request.Process, clockTime(process.Started), clockTime(process.Ready), clockTime(process.Term),
			clockTime(process.Ended), process.Err)
	}
	for _, attempt := range result.record.Attempts {
		if attempt.ID == id {
			fmt.Fprintf(w, "    server %s: came %s, told %v\n", attempt.Server, clockTime(attempt.At), attempt.Remaining)
		}
	}
	for number := range result.Plan.Routers {
		raw, err := os.ReadFile(filepath.Join(dir, routerName(number)+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "id="+id+" ") {
				fmt.Fprintf(w, "    log of router %d: %s", number, line)
			}
		}
	}
}

// ShortenSoak looks for a shorter schedule that violates one of the same rules, by leaving out ever smaller parts of
// the steps. As the exact interleaving varies between runs, a schedule that passes once may still be able to fail.
func ShortenSoak(ctx context.Context, experiment *Experiment, failed *SoakResult, options Options, attempts int) *SoakResult {
	rules := brokenRules(failed.Violations)
	best := failed
	for size := (len(failed.Plan.Steps) + 1) / 2; size >= 1 && attempts > 0; size /= 2 {
		for start := 0; start < len(best.Plan.Steps) && attempts > 0; attempts-- {
			shorter := *best.Plan
			shorter.Steps = slices.Delete(slices.Clone(best.Plan.Steps), start, min(start+size, len(best.Plan.Steps)))
			attemptOptions := options
			attemptOptions.Dir = filepath.Join(options.Dir, fmt.Sprintf("shorter-%d", attempts))
			result, err := runSoakPlan(ctx, experiment, &shorter, attemptOptions)
			if err == nil && slices.ContainsFunc(brokenRules(result.Violations), func(rule soakRule) bool { return slices.Contains(rules, rule) }) {
				best = result
			} else {
				start += size
			}
		}
	}
	return best
}

// Write writes the plan next to the logs.
func (result *SoakResult) Write(dir string) error {
	raw, err := jsoniter.MarshalIndent(result.Plan, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "plan.json"), append(raw, '\n'), 0o644)
}
