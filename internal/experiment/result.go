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

// Result is what an experiment showed.
type Result struct {
	Experiment string   `json:"experiment"`
	About      string   `json:"about,omitempty"`
	Seed       uint64   `json:"seed"`
	Passed     bool     `json:"held"`
	Checks     []Judged `json:"checks"`
	// Arms are the figures by arm, part and metric.
	Arms         map[string]map[string]map[string]float64 `json:"arms"`
	Ended        []string                                 `json:"ended,omitempty"` // routers that ended by themselves
	Series       map[string]map[string][]Point            `json:"series"`          // by arm and part
	faultsOverAt map[string]float64                       // by arm: the second in which the last of what went wrong was over
	Views        map[string][]Seen                        `json:"views,omitempty"` // by arm: what routers believed of each other
}

// Point is one second of a part.
type Point struct {
	Requested   int     `json:"asked"`
	Served      int     `json:"served"`
	Refused     int     `json:"refused"`
	InObjective int     `json:"in_aim"`
	Weight      float64 `json:"worth"` // of what was answered in time
}

// Judged is a check's verdict.
type Judged struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Relation string  `json:"relation"` // "min" or "max"
	Bound    float64 `json:"bound"`
	Passed   bool    `json:"held"`
	Note     string  `json:"note,omitempty"`
}

// add takes an arm's figures in.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (r *Result) add(arm string, p *play) {
	parts, series := map[string]map[string]float64{}, map[string][]Point{}
	requests, answered := 0.0, 0.0
	for _, l := range p.e.Loads {
		if part := p.parts[l.Name]; part != nil {
			m := part.metrics()
			parts[l.Name] = m
			requests += m["asked"]
			if !l.Direct {
				answered += m["asked"]
			}
		}
	}
	for _, l := range p.e.Readers {
		if part := p.parts[l.Name]; part != nil {
			m := part.metrics()
			p.readers[l.Name].audit(m)
			parts[l.Name] = m
			requests += m["asked"]
			answered += m["asked"]
		}
	}
	for _, f := range p.e.Floods {
		if part := p.parts[f.Name]; part != nil {
			parts[f.Name] = part.metrics()
		}
	}
	for name, part := range p.parts {
		for _, s := range part.seconds {
			series[name] = append(series[name], Point{s.requested, s.served, s.refused, s.inObjective, s.weight})
		}
	}
	routers := map[string]float64{"cpu_us_per_request": ratio(float64(p.cpu.Microseconds()), answered),
		"cpu_share": p.cpu.Seconds() / p.e.Seconds}
	for _, one := range p.routers {
		routers["start_mb"] = max(routers["start_mb"], one.startMB)
		routers["most_mb"] = max(routers["most_mb"], one.maxMemoryMB)
		if one.crashed != "" {
			routers["ended"]++
			r.Ended = append(r.Ended, arm+": "+one.crashed)
		}
	}
	parts["routers"] = routers
	if p.fellows != nil {
		m, views, err := p.fellows.audit(p.routers)
		if err != nil {
			r.Ended = append(r.Ended, arm+": "+err.Error()) // what can't be read holds nothing
		}
		parts["members"] = m
		if p.fellows.records() {
			sends, err := p.fellows.auditSends(p.fleet.Ran())
			if err != nil {
				r.Ended = append(r.Ended, arm+": "+err.Error())
			}
			parts["sends"] = sends
		}
		if r.Views == nil {
			r.Views = map[string][]Seen{}
		}
		r.Views[arm] = views
	}
	if len(p.e.PriorityClasses) > 0 {
		m, err := p.sheddingFigures()
		if err != nil {
			r.Ended = append(r.Ended, arm+": "+err.Error())
		}
		parts["lanes"] = m
	}
	parts["servers"] = audited(p.fleet.Audit(), requests)
	p.recoveryFigures(parts["servers"])
	r.Arms[arm] = parts
	if r.Series == nil {
		r.Series = map[string]map[string][]Point{}
	}
	r.Series[arm] = series
	if !p.back.IsZero() {
		if r.faultsOverAt == nil {
			r.faultsOverAt = map[string]float64{}
		}
		r.faultsOverAt[arm] = p.back.Sub(p.from).Seconds()
	}
}

// judge compares the figures with the bounds. A figure that was not measured
// holds nothing.
func (r *Result) judge(checks []Check) {
	r.Passed = true
	r.recovered()
	none := 0.0
	note := Judged{Name: "no router ended by itself", Relation: "max", Bound: none, Value: float64(len(r.Ended)), Passed: len(r.Ended) == 0,
		Note: strings.Join(r.Ended, "; ")}
	r.Checks = append(r.Checks, note)
	for _, c := range checks {
		j := Judged{Name: c.Name}
		v, ok := r.value(c.Value)
		if c.Over != "" {
			over, found := r.value(c.Over)
			ok = ok && found && over != 0
			v = ratio(v, over)
		}
		if c.Min != nil {
			j.Relation, j.Bound, j.Passed = "min", *c.Min, v >= *c.Min
		} else {
			j.Relation, j.Bound, j.Passed = "max", *c.Max, v <= *c.Max
		}
		if j.Value = math.Round(v*1e4) / 1e4; !ok {
			j.Passed, j.Note = false, "not measured"
		}
		r.Checks = append(r.Checks, j)
	}
	for _, j := range r.Checks {
		r.Passed = r.Passed && j.Passed
	}
}

func (r *Result) value(name string) (float64, bool) {
	f := strings.SplitN(name, ".", 3)
	v, ok := r.Arms[f[0]][f[1]][f[2]]
	return v, ok
}

//go:embed report.md.tmpl
var reportText string

// Report is the result as Markdown.
func (r *Result) Report() (string, error) {
	t, err := template.New("report").Funcs(template.FuncMap{
		"fig":   figure,
		"names": metricNames,
	}).Parse(reportText)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	if err := t.Execute(&b, r); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return b.String(), nil
}

// figure is a number as tables show it.
func figure(v float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
}

// metricNames are all metrics of a part, over the arms.
func metricNames(arms map[string]map[string]map[string]float64, part string) []string {
	var all []string
	for _, parts := range arms {
		for name := range parts[part] {
			if !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	slices.Sort(all)
	return all
}

// Parts are the names of all parts, over the arms.
func (r *Result) Parts() []string {
	var all []string
	for _, parts := range r.Arms {
		for name := range parts {
			if !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	slices.Sort(all)
	return all
}

// Write leaves result.json, report.md and a chart for each part in a folder.
func (r *Result) Write(dir string) error {
	raw, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	text, err := r.Report()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(text), 0o644); err != nil {
		return err
	}
	for _, part := range r.Parts() {
		if err := r.chart(dir, part); err != nil {
			return fmt.Errorf("chart %s: %w", part, err)
		}
	}
	for arm, seen := range r.Views {
		if err := chartViews(filepath.Join(dir, "views-"+arm+".svg"), r.Experiment+": "+arm, seen); err != nil {
			return fmt.Errorf("chart of views, %s: %w", arm, err)
		}
	}
	return nil
}

// isFlood says whether a part is connections that ask for nothing.
func (r *Result) isFlood(part string) bool {
	for _, parts := range r.Arms {
		if _, ok := parts[part]["told_share"]; ok {
			return true
		}
	}
	return false
}

var inks = []color.Color{color.RGBA{0x1f, 0x5f, 0xa8, 255}, color.RGBA{0xc2, 0x4a, 0x1c, 255}, color.RGBA{0x2e, 0x7d, 0x4f, 255},
	color.RGBA{0x6b, 0x4c, 0x9a, 255}, color.RGBA{0x8a, 0x6d, 0x0f, 255}, color.RGBA{0x44, 0x44, 0x44, 255}}

// chart draws a part's answers second by second, a line for each arm.
func (r *Result) chart(dir, part string) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ": " + part
	p.X.Label.Text, p.Y.Label.Text = "second", "answered in time (a flood: ended) each second"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	var arms []string
	for arm := range r.Series {
		arms = append(arms, arm)
	}
	slices.Sort(arms)
	drawn := false
	for i, arm := range arms {
		var points plotter.XYs
		for sec, v := range r.Series[arm][part] {
			y := float64(v.InObjective)
			if r.isFlood(part) {
				y = float64(v.Requested)
			}
			points = append(points, plotter.XY{X: float64(sec), Y: y})
		}
		if len(points) < 2 {
			continue
		}
		line, err := plotter.NewLine(points[:len(points)-1])
		if err != nil {
			return err
		}
		line.Color, line.Width = inks[i%len(inks)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(arm, line)
		drawn = true
	}
	if !drawn {
		return nil
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, filepath.Join(dir, part+".svg"))
}
