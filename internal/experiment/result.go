package experiment

import (
	_ "embed"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"

	jsoniter "github.com/json-iterator/go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Result is the outcome of an experiment.
type Result struct {
	Experiment string        `json:"experiment"`
	About      string        `json:"about,omitempty"`
	Seed       uint64        `json:"seed"`
	Passed     bool          `json:"held"`
	Checks     []CheckResult `json:"checks"`
	// Arms contains the metrics by arm, part and name.
	Arms         map[string]map[string]map[string]float64 `json:"arms"`
	Ended        []string                                 `json:"ended,omitempty"` // routers that ended unexpectedly, and records that could not be read
	Series       map[string]map[string][]Point            `json:"series"`          // by arm and part
	faultsOverAt map[string]float64                       // by arm: when the last fault ended, in seconds of the measured time
	Views        map[string][]ViewChange                  `json:"views,omitempty"` // by arm: the routers' membership views
}

// Point contains the results of a part in one second.
type Point struct {
	Requested   int     `json:"asked"`
	Served      int     `json:"served"`
	Rejected    int     `json:"refused"`
	InObjective int     `json:"in_aim"`
	Weight      float64 `json:"worth"` // of the requests served within the objective
}

// CheckResult is the result of a check.
type CheckResult struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Relation string  `json:"relation"` // "min" or "max"
	Bound    float64 `json:"bound"`
	Passed   bool    `json:"held"`
	Note     string  `json:"note,omitempty"`
}

// addArm adds the metrics of an arm.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (result *Result) addArm(arm string, run *armRun) {
	parts, series := map[string]map[string]float64{}, map[string][]Point{}
	requests, answered := 0.0, 0.0
	for _, load := range run.experiment.Loads {
		if stats := run.parts[load.Name]; stats != nil {
			metrics := stats.metrics()
			parts[load.Name] = metrics
			requests += metrics["asked"]
			if !load.Direct {
				answered += metrics["asked"]
			}
		}
	}
	for _, load := range run.experiment.Readers {
		if stats := run.parts[load.Name]; stats != nil {
			metrics := stats.metrics()
			run.readers[load.Name].audit(metrics)
			parts[load.Name] = metrics
			requests += metrics["asked"]
			answered += metrics["asked"]
		}
	}
	for _, flood := range run.experiment.Floods {
		if stats := run.parts[flood.Name]; stats != nil {
			parts[flood.Name] = stats.metrics()
		}
	}
	for name, stats := range run.parts {
		for _, second := range stats.seconds {
			series[name] = append(series[name], Point{second.requested, second.served, second.rejected, second.inObjective, second.weight})
		}
	}
	routers := map[string]float64{"cpu_us_per_request": ratio(float64(run.cpu.Microseconds()), answered),
		"cpu_share": run.cpu.Seconds() / run.experiment.Seconds}
	for _, router := range run.routers {
		routers["start_mb"] = max(routers["start_mb"], router.startMB)
		routers["most_mb"] = max(routers["most_mb"], router.maxMemoryMB)
		if router.crashed != "" {
			routers["ended"]++
			result.Ended = append(result.Ended, arm+": "+router.crashed)
		}
	}
	parts["routers"] = routers
	if run.cluster != nil {
		metrics, views, err := run.cluster.audit(run.routers)
		if err != nil {
			result.Ended = append(result.Ended, arm+": "+err.Error()) // a record that can't be read fails the experiment
		}
		parts["members"] = metrics
		if run.cluster.records() {
			sends, err := run.cluster.auditSends(run.fleet.Runs())
			if err != nil {
				result.Ended = append(result.Ended, arm+": "+err.Error())
			}
			parts["sends"] = sends
		}
		if result.Views == nil {
			result.Views = map[string][]ViewChange{}
		}
		result.Views[arm] = views
	}
	if len(run.experiment.PriorityClasses) > 0 {
		metrics, err := run.sheddingMetrics()
		if err != nil {
			result.Ended = append(result.Ended, arm+": "+err.Error())
		}
		parts["lanes"] = metrics
	}
	parts["servers"] = serverMetrics(run.fleet.Audit(), requests)
	run.addRecoveryMetrics(parts["servers"])
	result.Arms[arm] = parts
	if result.Series == nil {
		result.Series = map[string]map[string][]Point{}
	}
	result.Series[arm] = series
	if !run.faultsOver.IsZero() {
		if result.faultsOverAt == nil {
			result.faultsOverAt = map[string]float64{}
		}
		result.faultsOverAt[arm] = run.faultsOver.Sub(run.from).Seconds()
	}
}

// evaluate compares the metrics with the bounds. A check fails if its metric was not measured.
func (result *Result) evaluate(checks []Check) {
	result.Passed = true
	result.addRecoveryTimes()
	bound := 0.0
	endedCheck := CheckResult{Name: "no router ended by itself", Relation: "max", Bound: bound, Value: float64(len(result.Ended)), Passed: len(result.Ended) == 0,
		Note: strings.Join(result.Ended, "; ")}
	result.Checks = append(result.Checks, endedCheck)
	for _, check := range checks {
		checkResult := CheckResult{Name: check.Name}
		value, measured := result.value(check.Value)
		if check.Over != "" {
			divisor, found := result.value(check.Over)
			measured = measured && found && divisor != 0
			value = ratio(value, divisor)
		}
		if check.Min != nil {
			checkResult.Relation, checkResult.Bound, checkResult.Passed = "min", *check.Min, value >= *check.Min
		} else {
			checkResult.Relation, checkResult.Bound, checkResult.Passed = "max", *check.Max, value <= *check.Max
		}
		if checkResult.Value = math.Round(value*1e4) / 1e4; !measured {
			checkResult.Passed, checkResult.Note = false, "not measured"
		}
		result.Checks = append(result.Checks, checkResult)
	}
	for _, checkResult := range result.Checks {
		result.Passed = result.Passed && checkResult.Passed
	}
}

// value returns a metric by its name, "arm.part.metric".
func (result *Result) value(name string) (float64, bool) {
	path := strings.SplitN(name, ".", 3)
	value, found := result.Arms[path[0]][path[1]][path[2]]
	return value, found
}

//go:embed report.md.tmpl
var reportTemplateText string

// Report returns the result as Markdown.
func (result *Result) Report() (string, error) {
	reportTemplate, err := template.New("report").Funcs(template.FuncMap{
		"fig":   formatNumber,
		"names": metricNames,
	}).Parse(reportTemplateText)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	if err := reportTemplate.Execute(&text, result); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return text.String(), nil
}

// formatNumber formats a number for a table.
func formatNumber(value float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), ".")
}

// metricNames returns the names of the metrics of a part in any arm, sorted.
func metricNames(arms map[string]map[string]map[string]float64, part string) []string {
	var names []string
	for _, parts := range arms {
		for name := range parts[part] {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Parts returns the names of the parts of any arm, sorted.
func (result *Result) Parts() []string {
	var names []string
	for _, parts := range result.Arms {
		for name := range parts {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Write writes result.json, report.md and a chart for each part to a directory.
func (result *Result) Write(dir string) error {
	raw, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	text, err := result.Report()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(text), 0o644); err != nil {
		return err
	}
	for _, part := range result.Parts() {
		if err := result.chart(dir, part); err != nil {
			return fmt.Errorf("chart %s: %w", part, err)
		}
	}
	for arm, changes := range result.Views {
		if err := chartViews(filepath.Join(dir, "views-"+arm+".svg"), result.Experiment+": "+arm, changes); err != nil {
			return fmt.Errorf("chart of views, %s: %w", arm, err)
		}
	}
	return nil
}

// isFlood reports whether a part is a flood, whose connections make no requests.
func (result *Result) isFlood(part string) bool {
	for _, parts := range result.Arms {
		if _, ok := parts[part]["told_share"]; ok {
			return true
		}
	}
	return false
}

var lineColors = []color.Color{color.RGBA{0x1f, 0x5f, 0xa8, 255}, color.RGBA{0xc2, 0x4a, 0x1c, 255}, color.RGBA{0x2e, 0x7d, 0x4f, 255},
	color.RGBA{0x6b, 0x4c, 0x9a, 255}, color.RGBA{0x8a, 0x6d, 0x0f, 255}, color.RGBA{0x44, 0x44, 0x44, 255}}

// chart draws the requests of a part that were served within the objective in each second, or the connections of a
// flood that ended, with a line for each arm.
func (result *Result) chart(dir, part string) error {
	chart := plot.New()
	chart.Title.Text = result.Experiment + ": " + part
	chart.X.Label.Text, chart.Y.Label.Text = "second", "answered in time (a flood: ended) each second"
	chart.Y.Min = 0
	chart.Add(plotter.NewGrid())
	var arms []string
	for arm := range result.Series {
		arms = append(arms, arm)
	}
	slices.Sort(arms)
	drawn := false
	for i, arm := range arms {
		var points plotter.XYs
		for second, point := range result.Series[arm][part] {
			y := float64(point.InObjective)
			if result.isFlood(part) {
				y = float64(point.Requested)
			}
			points = append(points, plotter.XY{X: float64(second), Y: y})
		}
		if len(points) < 2 {
			continue
		}
		line, err := plotter.NewLine(points[:len(points)-1])
		if err != nil {
			return err
		}
		line.Color, line.Width = lineColors[i%len(lineColors)], vg.Points(1.5)
		chart.Add(line)
		chart.Legend.Add(arm, line)
		drawn = true
	}
	if !drawn {
		return nil
	}
	chart.Legend.Top = true
	return chart.Save(16*vg.Centimeter, 8*vg.Centimeter, filepath.Join(dir, part+".svg"))
}
