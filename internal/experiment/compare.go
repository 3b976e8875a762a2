package experiment

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/template"

	jsoniter "github.com/json-iterator/go"
)

// Read reads the result.json file of an experiment.
func Read(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	if err := jsoniter.Unmarshal(raw, result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return result, nil
}

// Spread summarizes the values of a check or metric over several runs.
type Spread struct {
	Name             string
	Median, Min, Max float64
	Relation         string
	Bound            float64
	PassedRuns       int
	Values           []float64
}

func spread(name string, values []float64) Spread {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{Name: name, Median: median(sorted), Min: sorted[0], Max: sorted[len(sorted)-1], Values: values}
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

//go:embed compare.md.tmpl
var compareTemplateText string

// Compare returns a Markdown report over several runs of one experiment: the median and the range of each check and of
// each metric of each arm.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func Compare(runs []*Result) (string, error) {
	data := struct {
		Experiment string
		Seeds      []uint64
		Checks     []Spread
		Arms       []string
		Parts      []string
		Figures    map[string]map[string]map[string]Spread
		Names      map[string][]string
	}{Experiment: runs[0].Experiment, Figures: map[string]map[string]map[string]Spread{}, Names: map[string][]string{}}
	checks := map[string][]CheckResult{}
	for _, run := range runs {
		if run.Experiment != data.Experiment {
			return "", fmt.Errorf("report: %s and %s are not runs of one experiment", data.Experiment, run.Experiment)
		}
		data.Seeds = append(data.Seeds, run.Seed)
		for _, check := range run.Checks {
			checks[check.Name] = append(checks[check.Name], check)
		}
	}
	for _, check := range runs[0].Checks {
		var values []float64
		passed := 0
		for _, result := range checks[check.Name] {
			if values = append(values, result.Value); result.Passed {
				passed++
			}
		}
		summary := spread(check.Name, values)
		summary.Relation, summary.Bound, summary.PassedRuns = check.Relation, check.Bound, passed
		data.Checks = append(data.Checks, summary)
	}
	for arm, parts := range runs[0].Arms {
		data.Arms = append(data.Arms, arm)
		for part, figures := range parts {
			for name := range figures {
				var values []float64
				for _, run := range runs {
					if value, ok := run.Arms[arm][part][name]; ok {
						values = append(values, value)
					}
				}
				if data.Figures[part] == nil {
					data.Figures[part] = map[string]map[string]Spread{}
				}
				if data.Figures[part][name] == nil {
					data.Figures[part][name] = map[string]Spread{}
					data.Names[part] = append(data.Names[part], name)
				}
				data.Figures[part][name][arm] = spread(name, values)
			}
		}
	}
	slices.Sort(data.Arms)
	data.Parts = runs[0].Parts()
	for _, names := range data.Names {
		slices.Sort(names)
	}
	reportTemplate, err := template.New("compare").Funcs(template.FuncMap{"fig": formatNumber}).Parse(compareTemplateText)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	if err := reportTemplate.Execute(&text, data); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return text.String(), nil
}

// CompareCharts draws a chart of each part over time, with a line for each arm: the mean of the runs.
func CompareCharts(runs []*Result, dir string) error {
	mean := &Result{Experiment: runs[0].Experiment, Arms: runs[0].Arms, Series: map[string]map[string][]Point{}}
	for arm, parts := range runs[0].Series {
		mean.Series[arm] = map[string][]Point{}
		for part, points := range parts {
			sum := make([]Point, len(points))
			for _, run := range runs {
				for second, point := range run.Series[arm][part] {
					if second < len(sum) {
						sum[second].Requested += point.Requested
						sum[second].Served += point.Served
						sum[second].Rejected += point.Rejected
						sum[second].InObjective += point.InObjective
					}
				}
			}
			for second := range sum {
				sum[second].Requested /= len(runs)
				sum[second].Served /= len(runs)
				sum[second].Rejected /= len(runs)
				sum[second].InObjective /= len(runs)
			}
			mean.Series[arm][part] = sum
		}
	}
	for _, part := range mean.Parts() {
		if err := mean.chart(dir, part); err != nil {
			return fmt.Errorf("chart %s: %w", part, err)
		}
	}
	return nil
}
