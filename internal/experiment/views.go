package experiment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ViewChange is a change of a router's membership view, as its log has it.
type ViewChange struct {
	AtS         float64 `json:"at_s"` // seconds since the first change in the arm
	Router      int     `json:"router"`
	Subject     int     `json:"of"` // the member that changed; -1: a change of the router's own quota share and member count
	State       string  `json:"state,omitempty"`
	Epoch       uint64  `json:"boot,omitempty"`
	Incarnation uint64  `json:"incarnation,omitempty"`
	Share       float64 `json:"share,omitempty"`
	MemberCount int     `json:"counts,omitempty"` // number of members that the router counts for its quota share

	at time.Time
}

const (
	viewGrace       = 5 * time.Second        // a state is not wrong if the member was paused or unreachable this recently
	viewLogInterval = 300 * time.Millisecond // a share is logged at most this late, so the sum of shares may briefly seem too large
)

// readViews reads the view changes of one router from its log.
func readViews(path string, router int) ([]ViewChange, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var changes []ViewChange
	lines := logfmt.NewDecoder(file)
	for lines.ScanRecord() {
		fields := map[string]string{}
		for lines.ScanKeyval() {
			fields[string(lines.Key())] = string(lines.Value())
		}
		change := ViewChange{Router: router, Subject: -1, State: fields["state"]}
		change.at, _ = time.Parse(time.RFC3339, fields["time"])
		switch fields["msg"] {
		case "member":
			_, _ = fmt.Sscanf(fields["of"], "n%d", &change.Subject)
			change.Epoch, _ = strconv.ParseUint(fields["boot"], 10, 64)
			change.Incarnation, _ = strconv.ParseUint(fields["incarnation"], 10, 64)
		case "view":
			change.Share, _ = strconv.ParseFloat(fields["share"], 64)
			change.MemberCount, _ = strconv.Atoi(fields["counting"])
		default:
			continue
		}
		changes = append(changes, change)
	}
	return changes, lines.Err()
}

// audit compares the routers' views with the faults that the experiment caused. It returns the metrics and all view
// changes.
func (cluster *memberCluster) audit(routers []*process) (map[string]float64, []ViewChange, error) {
	metrics := map[string]float64{}
	var changes []ViewChange
	for number, router := range routers {
		own, err := readViews(filepath.Join(router.dir, router.name+".log"), number)
		if err != nil {
			return metrics, nil, err
		}
		changes = append(changes, own...)
	}
	changes = slices.DeleteFunc(changes, func(change ViewChange) bool { return change.at.After(cluster.stoppedAt) })
	if len(changes) == 0 {
		return metrics, nil, fmt.Errorf("no router logged a view change")
	}
	slices.SortStableFunc(changes, func(earlier, later ViewChange) int { return earlier.at.Compare(later.at) })
	for i := range changes {
		changes[i].AtS = changes[i].at.Sub(changes[0].at).Seconds()
	}
	cluster.countWrongStates(changes, metrics)
	cluster.measureDetection(changes, metrics)
	cluster.measureAgreement(changes, metrics)
	cluster.sumShares(changes, metrics)
	sent, bytes := 0.0, 0.0
	for number, report := range cluster.reports {
		_, upSince := cluster.conditionAt(number, cluster.stoppedAt)
		span := cluster.stoppedAt.Sub(upSince).Seconds()
		sent, bytes = sent+float64(report.Counts.Sent)/span, bytes+float64(report.Counts.SentBytes)/span
		if state := report.State; state != nil { // write acknowledgements that waited for another router to confirm
			metrics["waits_came"] += float64(state.Waits.Acknowledged)
			metrics["waits_over"] += float64(state.Waits.TimedOut + state.Waits.LimitReached + state.Waits.NoOtherMember)
			metrics["waits_longest_ms"] = max(metrics["waits_longest_ms"], state.Waits.LongestMS)
			metrics["state_differed"] += float64(report.Counts.MissingEntries)
		}
	}
	if count := float64(len(cluster.reports)); count > 0 {
		metrics["sent_per_s"], metrics["bytes_per_s"] = sent/count, bytes/count
	}
	return metrics, changes, nil
}

// countWrongStates counts wrong states of routers that were up and reachable all the time, and incarnation numbers that
// decreased.
func (cluster *memberCluster) countWrongStates(changes []ViewChange, metrics map[string]float64) {
	metrics["false_deaths"], metrics["fallen"], metrics["doubts"] = 0, 0, 0
	linkEvents := cluster.net.Events()
	times := cluster.changeTimes(linkEvents)
	lastIncarnation := map[[3]uint64]uint64{}
	for _, change := range changes {
		if change.Subject < 0 {
			continue
		}
		key := [3]uint64{uint64(change.Router), uint64(change.Subject), change.Epoch}
		if change.Incarnation < lastIncarnation[key] {
			metrics["fallen"]++
		}
		lastIncarnation[key] = change.Incarnation
		if change.State == "alive" || change.Router == change.Subject {
			continue
		}
		condition, since := cluster.conditionAt(change.Subject, change.at)
		if condition != up || change.at.Sub(since) < viewGrace {
			continue
		}
		connected := true // whether the two could reach each other during the whole grace period
		for _, at := range append(slices.Clone(times), change.at) {
			if at.After(change.at.Add(-viewGrace)) && !at.After(change.at) || at.Equal(change.at) {
				connected = connected && cluster.reachable(change.Router, change.Subject, at, linkEvents) && cluster.reachable(change.Subject, change.Router, at, linkEvents)
			}
		}
		start := change.at.Add(-viewGrace)
		connected = connected && cluster.reachable(change.Router, change.Subject, start, linkEvents) && cluster.reachable(change.Subject, change.Router, start, linkEvents)
		switch {
		case !connected:
		case change.State == "dead" || change.State == "left":
			metrics["false_deaths"]++
		default:
			metrics["doubts"]++
		}
	}
}

// measureDetection measures how long it took until all running routers had detected a kill: they saw the router dead,
// or restarted.
func (cluster *memberCluster) measureDetection(changes []ViewChange, metrics map[string]float64) {
	var delays []float64
	metrics["unnoticed"] = 0
	linkEvents := cluster.net.Events()
	for _, kill := range cluster.changes {
		if kill.newCondition != killed {
			continue
		}
		slowest := 0.0
		for observer := range cluster.count {
			if condition, since := cluster.conditionAt(observer, kill.at); observer == kill.router || condition != up || kill.at.Sub(since) < viewGrace || !cluster.reachable(kill.router, observer, kill.at, linkEvents) {
				continue
			}
			delay := -1.0
			epoch := uint64(0)
			for _, change := range changes {
				if change.Router != observer || change.Subject != kill.router {
					continue
				}
				if change.at.Before(kill.at) {
					epoch = change.Epoch
				} else if change.State == "dead" || change.Epoch > epoch {
					delay = float64(change.at.Sub(kill.at).Microseconds()) / 1e3
					break
				}
			}
			if delay < 0 {
				metrics["unnoticed"]++
			}
			slowest = max(slowest, delay)
		}
		delays = append(delays, slowest)
	}
	if metrics["kills"] = float64(len(delays)); len(delays) > 0 {
		slices.Sort(delays)
		metrics["notice_p50_ms"], metrics["notice_p99_ms"] = stat.Quantile(0.5, stat.Empirical, delays, nil), stat.Quantile(0.99, stat.Empirical, delays, nil)
	}
}

// measureAgreement measures how long after the last change of a fault all views had become correct: they show routers
// as alive if and only if those are up.
func (cluster *memberCluster) measureAgreement(changes []ViewChange, metrics map[string]float64) {
	lastFault := changes[0].at
	for _, at := range cluster.changeTimes(cluster.net.Events()) {
		lastFault = at
	}
	views := make([]map[int]string, cluster.count)
	for observer := range views {
		views[observer] = map[int]string{}
	}
	allCorrect := func() bool {
		for observer := range cluster.count {
			if condition, _ := cluster.conditionAt(observer, lastFault); condition != up {
				continue
			}
			for subject := range cluster.count {
				condition, _ := cluster.conditionAt(subject, lastFault)
				if state := views[observer][subject]; (condition == up) != (state == "alive") && (condition == up || state != "") {
					return false
				}
			}
		}
		return true
	}
	agreedAt := time.Time{}
	for _, change := range changes {
		if change.Subject < 0 {
			continue
		}
		views[change.Router][change.Subject] = change.State
		switch correct := allCorrect(); {
		case !correct:
			agreedAt = time.Time{}
		case agreedAt.IsZero():
			agreedAt = change.at
		}
	}
	if metrics["agreed"] = 0; !agreedAt.IsZero() {
		metrics["agreed"], metrics["agree_ms"] = 1, max(0, float64(agreedAt.Sub(lastFault).Microseconds())/1e3)
	}
}

// sumShares adds up the quota shares in force. A killed or stopped router uses none. A paused one has its last share
// until its lease has expired, and at most the share of an isolated router after that.
func (cluster *memberCluster) sumShares(changes []ViewChange, metrics map[string]float64) {
	shares := make([]float64, cluster.count)
	isolated := cluster.isolatedShare / float64(cluster.count)
	metrics["parts_most"], metrics["parts_over"] = 0, 0
	times := cluster.changeTimes(nil)
	for _, change := range changes {
		times = append(times, change.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	next := 0
	exceededSince := time.Time{}
	for _, at := range times {
		for ; next < len(changes) && !changes[next].at.After(at); next++ {
			if changes[next].Subject < 0 {
				shares[changes[next].Router] = changes[next].Share
			}
		}
		total := 0.0
		for router := range shares {
			switch condition, since := cluster.conditionAt(router, at); {
			case condition == killed, condition == stopped:
				shares[router] = 0
			case condition == paused && at.Sub(since) > cluster.leaseTerm:
				total += min(shares[router], isolated)
			default:
				total += shares[router]
			}
		}
		switch {
		case total <= 1+1e-6:
			exceededSince = time.Time{}
			metrics["parts_most"] = max(metrics["parts_most"], total)
		case exceededSince.IsZero():
			exceededSince = at
		case at.Sub(exceededSince) > viewLogInterval:
			metrics["parts_most"] = max(metrics["parts_most"], total)
			metrics["parts_over"]++
		}
	}
	metrics["parts_last"] = 0
	for _, share := range shares {
		metrics["parts_last"] += share
	}
}

// chartViews draws the number of members that each router counts over time.
func chartViews(path, title string, changes []ViewChange) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text, chart.Y.Label.Text = "second", "routers that each counts"
	chart.Y.Min = 0
	chart.Add(plotter.NewGrid())
	lines := map[int]plotter.XYs{}
	endS := 0.0
	for _, change := range changes {
		endS = max(endS, change.AtS)
		if change.Subject >= 0 {
			continue
		}
		offset := 0.04 * float64(change.Router) // so that equal lines do not cover each other
		if points := lines[change.Router]; len(points) > 0 {
			lines[change.Router] = append(points, plotter.XY{X: change.AtS, Y: points[len(points)-1].Y})
		}
		lines[change.Router] = append(lines[change.Router], plotter.XY{X: change.AtS, Y: float64(change.MemberCount) + offset})
	}
	var routers []int
	for router := range lines {
		routers = append(routers, router)
	}
	slices.SortFunc(routers, cmp.Compare)
	for index, router := range routers {
		points := lines[router]
		line, err := plotter.NewLine(append(points, plotter.XY{X: endS, Y: points[len(points)-1].Y}))
		if err != nil {
			return err
		}
		line.Color, line.Width = lineColors[index%len(lineColors)], vg.Points(1.2)
		chart.Add(line)
		chart.Legend.Add(routerName(router), line)
	}
	return chart.Save(18*vg.Centimeter, 9*vg.Centimeter, path)
}
