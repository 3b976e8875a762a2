package experiment

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"lotushook/internal/emulator"
)

// sheddingRequest is one request of an account of a priority class, as its client saw it.
type sheddingRequest struct {
	id            string
	priorityClass string // according to the contract of the account
	account       string
	group         int64
	router        int
	at, end       time.Time
	outcome       outcome
	shed          string // the priority class that the rejection names; "": not shed
}

var sheddingMessage = regexp.MustCompile(`refused: lane (\S+) is shed .*\(lanes\)`)

// shedClass returns the priority class that a rejection names.
func shedClass(text string) string {
	if match := sheddingMessage.FindStringSubmatch(text); match != nil {
		return match[1]
	}
	return ""
}

const (
	thresholdGrace   = 2 * time.Second        // how long after the start of a surge or a fault the routers' shedding thresholds may differ
	simultaneousSpan = 100 * time.Millisecond // a rejection and the start of a request closer than this count as simultaneous
	rejectionGap     = 250 * time.Millisecond // two answers to one account closer than this are compared
)

// auditShedding compares the answers to clients with the requests that data servers began. It is an inversion if one
// router sheds a request of the most important class while a data server begins a request of the least important class
// that another router sent. The measured time begins at from; marks are the starts of surges and faults; the surge
// lasts from surge to surgeEnd.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func auditShedding(classes []string, requests []sheddingRequest, began []emulator.Start, from time.Time, marks []time.Time, surge, surgeEnd time.Time) (map[string]float64, error) {
	metrics := map[string]float64{}
	if len(classes) < 2 {
		return metrics, fmt.Errorf("lanes: %d priority classes, at least 2 are required", len(classes))
	}
	best, last := classes[0], classes[len(classes)-1]
	byID := map[string]*sheddingRequest{}
	for i := range requests {
		if byID[requests[i].id] != nil {
			return metrics, fmt.Errorf("lanes: request %s is recorded twice", requests[i].id)
		}
		byID[requests[i].id] = &requests[i]
	}
	// The requests of the least important class that data servers began, by group, in order of time.
	startsOfLast := map[int64][]emulator.Start{}
	started := map[string]bool{}
	for _, start := range began {
		request := byID[start.ID]
		if request == nil {
			continue // its client does not record its requests
		}
		if started[start.ID] = true; request.group != start.Group {
			return metrics, fmt.Errorf("lanes: request %s was made to cluster %d and begun at %d", start.ID, request.group, start.Group)
		}
		if request.priorityClass == last {
			startsOfLast[start.Group] = append(startsOfLast[start.Group], start)
		}
	}
	for _, starts := range startsOfLast {
		slices.SortFunc(starts, func(earlier, later emulator.Start) int { return earlier.At.Compare(later.At) })
	}
	inGrace := func(t time.Time) bool {
		return slices.ContainsFunc(marks, func(mark time.Time) bool { return !t.Before(mark) && t.Before(mark.Add(thresholdGrace)) })
	}
	earlyRequests, earlyInversions, lateInversions, shed := 0.0, 0.0, 0.0, 0.0
	answersByAccount := map[string][]*sheddingRequest{}
	servedByAccount := map[string]map[string]bool{} // by account: its requests during the surge, and whether any attempt was served
	var lastShed time.Time
	requestedByClass, servedByClass := map[string]float64{}, map[string]float64{}
	for i := range requests {
		request := &requests[i]
		if request.at.Before(from) {
			continue
		}
		if request.outcome == served && !started[request.id] {
			return metrics, fmt.Errorf("lanes: request %s was answered, and no data server began it", request.id)
		}
		if !surgeEnd.IsZero() && request.at.Before(surgeEnd) && request.at.After(surge.Add(thresholdGrace)) {
			id, _, _ := strings.Cut(request.id, "-r")
			if servedByAccount[request.account] == nil {
				servedByAccount[request.account] = map[string]bool{}
			}
			servedByAccount[request.account][id] = servedByAccount[request.account][id] || request.outcome == served
			requestedByClass[request.priorityClass]++
			if request.outcome == served {
				servedByClass[request.priorityClass]++
			}
		}
		if request.priorityClass == best && inGrace(request.at) {
			earlyRequests++
		}
		answersByAccount[fmt.Sprint(request.group, request.account)] = append(answersByAccount[fmt.Sprint(request.group, request.account)], request)
		if request.shed == "" {
			continue
		}
		shed++
		if request.end.After(lastShed) {
			lastShed = request.end
		}
		if request.shed != best {
			continue
		}
		starts := startsOfLast[request.group]
		index, _ := slices.BinarySearchFunc(starts, request.end.Add(-simultaneousSpan), func(start emulator.Start, t time.Time) int { return start.At.Compare(t) })
		for ; index < len(starts) && starts[index].At.Before(request.end.Add(simultaneousSpan)); index++ {
			if byID[starts[index].ID].router != request.router {
				if inGrace(request.at) {
					earlyInversions++
				} else {
					lateInversions++
				}
				break
			}
		}
	}
	inconsistent, pairs := 0.0, 0.0
	for _, answers := range answersByAccount {
		slices.SortFunc(answers, func(earlier, later *sheddingRequest) int { return earlier.end.Compare(later.end) })
		for i := 1; i < len(answers); i++ {
			earlier, later := answers[i-1], answers[i]
			if earlier.router == later.router || earlier.shed == "" && later.shed == "" || later.end.Sub(earlier.end) > rejectionGap || inGrace(earlier.at) {
				continue
			}
			if pairs++; (earlier.shed == "") != (later.shed == "") && (earlier.outcome == served || later.outcome == served) {
				inconsistent++
			}
		}
	}
	servedWhole, servedPartly := 0.0, 0.0
	for _, requestsServed := range servedByAccount {
		count := 0
		for _, ok := range requestsServed {
			if ok {
				count++
			}
		}
		switch {
		case count == len(requestsServed):
			servedWhole += float64(count)
		default:
			servedPartly += float64(count)
		}
	}
	metrics["visits_whole_share"] = ratio(servedWhole, servedWhole+servedPartly) // the share of requests served during the surge that belong to accounts whose every request was served
	metrics["shed"], metrics["inversions_first_share"], metrics["inversions_after"] = shed, ratio(earlyInversions, earlyRequests), lateInversions
	metrics["pairs"], metrics["torn_share"] = pairs, ratio(inconsistent, pairs)
	for _, class := range classes {
		metrics["served_share_"+class] = ratio(servedByClass[class], requestedByClass[class])
	}
	if metrics["released_s"] = 0; !surgeEnd.IsZero() && lastShed.After(surgeEnd) {
		metrics["released_s"] = lastShed.Sub(surgeEnd).Seconds()
	}
	return metrics, nil
}

// sheddingMetrics returns the shedding metrics of the arm.
func (run *armRun) sheddingMetrics() (map[string]float64, error) {
	var marks []time.Time
	var surge, surgeEnd time.Time
	for _, load := range run.experiment.Loads {
		if load.FromS > 0 && (len(run.arm.Loads) == 0 || slices.Contains(run.arm.Loads, load.Name)) {
			marks = append(marks, run.from.Add(seconds(load.FromS)))
			if load.ToS > 0 {
				surge, surgeEnd = run.from.Add(seconds(load.FromS)), run.from.Add(seconds(load.ToS))
			}
		}
	}
	for _, event := range run.arm.Events {
		marks = append(marks, run.from.Add(seconds(event.AtS)))
	}
	slices.SortFunc(marks, time.Time.Compare)
	run.mu.Lock()
	requests := slices.Clone(run.sheddingRequests)
	run.mu.Unlock()
	metrics, err := auditShedding(run.experiment.PriorityClasses, requests, run.fleet.Starts(), run.from, marks, surge, surgeEnd)
	for _, stats := range run.parts {
		stats.mu.Lock()
		metrics["worth_per_s"] += stats.weightInObjective / stats.span.Seconds()
		stats.mu.Unlock()
	}
	return metrics, err
}

const maxSheddingRequests = 1 << 20
