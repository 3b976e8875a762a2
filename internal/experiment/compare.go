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

// Read reads a result.json.
func Read(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := jsoniter.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Spread is a check or a figure over several runs.
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

// median is the middle one of sorted values, or the mean of the two in the middle.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

//go:embed compare.md.tmpl
var compareText string

// Compare sets runs of one experiment side by side: each check, and each figure
// of each arm, with its median and its range over the runs.
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
	checks := map[string][]Judged{}
	for _, r := range runs {
		if r.Experiment != data.Experiment {
			return "", fmt.Errorf("report: %s and %s are not runs of one experiment", data.Experiment, r.Experiment)
		}
		data.Seeds = append(data.Seeds, r.Seed)
		for _, c := range r.Checks {
			checks[c.Name] = append(checks[c.Name], c)
		}
	}
	for _, c := range runs[0].Checks {
		var values []float64
		held := 0
		for _, j := range checks[c.Name] {
			if values = append(values, j.Value); j.Passed {
				held++
			}
		}
		s := spread(c.Name, values)
		s.Relation, s.Bound, s.PassedRuns = c.Relation, c.Bound, held
		data.Checks = append(data.Checks, s)
	}
	for arm, parts := range runs[0].Arms {
		data.Arms = append(data.Arms, arm)
		for part, figures := range parts {
			for name := range figures {
				var values []float64
				for _, r := range runs {
					if v, ok := r.Arms[arm][part][name]; ok {
						values = append(values, v)
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
	t, err := template.New("compare").Funcs(template.FuncMap{"fig": figure}).Parse(compareText)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	if err := t.Execute(&b, data); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return b.String(), nil
}

// CompareCharts draws each part over time, a line for each arm: the mean of the runs.
func CompareCharts(runs []*Result, dir string) error {
	mean := &Result{Experiment: runs[0].Experiment, Arms: runs[0].Arms, Series: map[string]map[string][]Point{}}
	for arm, parts := range runs[0].Series {
		mean.Series[arm] = map[string][]Point{}
		for part, points := range parts {
			sum := make([]Point, len(points))
			for _, r := range runs {
				for i, p := range r.Series[arm][part] {
					if i < len(sum) {
						sum[i].Requested += p.Requested
						sum[i].Served += p.Served
						sum[i].Refused += p.Refused
						sum[i].InObjective += p.InObjective
					}
				}
			}
			for i := range sum {
				sum[i].Requested /= len(runs)
				sum[i].Served /= len(runs)
				sum[i].Refused /= len(runs)
				sum[i].InObjective /= len(runs)
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
