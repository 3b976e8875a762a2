package experiment

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"lotushook/internal/emulator"
)

// sheddingRequest is one request of an account in a lane as its client saw it.
type sheddingRequest struct {
	id            string
	priorityClass string // by its contract
	account       string
	group         int64
	router        int
	at, end       time.Time
	outcome       outcome
	shed          string // the lane that its refusal names; "": it was not refused for one
}

var shedAs = regexp.MustCompile(`refused: lane (\S+) is shed .*\(lanes\)`)

// shedClass returns the priority class that a rejection names.
func shedClass(text string) string {
	if m := shedAs.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

const (
	soon         = 2 * time.Second        // after a surge or a fault began, levels may differ for so long
	together     = 100 * time.Millisecond // a refusal and a start of work so close are at the same time
	rejectionGap = 250 * time.Millisecond // and two words to one account
)

// auditShedding holds what clients were told against what data servers began to work on. A refusal in the best lane by one
// router, while a data server begins a request of the last lane that another one sent, is an inversion. From is when what
// is measured began, marks are when a surge or a fault did; the surge was from surge to over.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func auditShedding(lanes []string, all []sheddingRequest, ran []emulator.Began, from time.Time, marks []time.Time, surge, over time.Time) (map[string]float64, error) {
	m := map[string]float64{}
	if len(lanes) < 2 {
		return m, fmt.Errorf("lanes: %d of them", len(lanes))
	}
	best, last := lanes[0], lanes[len(lanes)-1]
	byID := map[string]*sheddingRequest{}
	for i := range all {
		if byID[all[i].id] != nil {
			return m, fmt.Errorf("lanes: request %s is recorded twice", all[i].id)
		}
		byID[all[i].id] = &all[i]
	}
	// What the data servers began of the last lane, by group in order of time.
	began := map[int64][]emulator.Began{}
	worked := map[string]bool{}
	for _, b := range ran {
		a := byID[b.ID]
		if a == nil {
			continue // of a client that keeps no record
		}
		if worked[b.ID] = true; a.group != b.Group {
			return m, fmt.Errorf("lanes: request %s was asked of cluster %d and begun at %d", b.ID, a.group, b.Group)
		}
		if a.priorityClass == last {
			began[b.Group] = append(began[b.Group], b)
		}
	}
	for _, list := range began {
		slices.SortFunc(list, func(x, y emulator.Began) int { return x.At.Compare(y.At) })
	}
	first := func(t time.Time) bool {
		return slices.ContainsFunc(marks, func(mark time.Time) bool { return !t.Before(mark) && t.Before(mark.Add(soon)) })
	}
	early, earlyInv, lateInv, shed := 0.0, 0.0, 0.0, 0.0
	words := map[string][]*sheddingRequest{}
	visits := map[string]map[string]bool{} // by account: what it asked in the surge, and whether it was served, perhaps elsewhere
	var lastShed time.Time
	lanesAsked, lanesServed := map[string]float64{}, map[string]float64{}
	for i := range all {
		a := &all[i]
		if a.at.Before(from) {
			continue
		}
		if a.outcome == served && !worked[a.id] {
			return m, fmt.Errorf("lanes: request %s was answered, and no data server began it", a.id)
		}
		if !over.IsZero() && a.at.Before(over) && a.at.After(surge.Add(soon)) {
			id, _, _ := strings.Cut(a.id, "-r")
			if visits[a.account] == nil {
				visits[a.account] = map[string]bool{}
			}
			visits[a.account][id] = visits[a.account][id] || a.outcome == served
			lanesAsked[a.priorityClass]++
			if a.outcome == served {
				lanesServed[a.priorityClass]++
			}
		}
		if a.priorityClass == best && first(a.at) {
			early++
		}
		words[fmt.Sprint(a.group, a.account)] = append(words[fmt.Sprint(a.group, a.account)], a)
		if a.shed == "" {
			continue
		}
		shed++
		if a.end.After(lastShed) {
			lastShed = a.end
		}
		if a.shed != best {
			continue
		}
		list := began[a.group]
		at, _ := slices.BinarySearchFunc(list, a.end.Add(-together), func(b emulator.Began, t time.Time) int { return b.At.Compare(t) })
		for ; at < len(list) && list[at].At.Before(a.end.Add(together)); at++ {
			if byID[list[at].ID].router != a.router {
				if first(a.at) {
					earlyInv++
				} else {
					lateInv++
				}
				break
			}
		}
	}
	torn, pairs := 0.0, 0.0
	for _, list := range words {
		slices.SortFunc(list, func(x, y *sheddingRequest) int { return x.end.Compare(y.end) })
		for i := 1; i < len(list); i++ {
			x, y := list[i-1], list[i]
			if x.router == y.router || x.shed == "" && y.shed == "" || y.end.Sub(x.end) > rejectionGap || first(x.at) {
				continue
			}
			if pairs++; (x.shed == "") != (y.shed == "") && (x.outcome == served || y.outcome == served) {
				torn++
			}
		}
	}
	whole, broken := 0.0, 0.0
	for _, v := range visits {
		n := 0
		for _, ok := range v {
			if ok {
				n++
			}
		}
		switch {
		case n == len(v):
			whole += float64(n)
		default:
			broken += float64(n)
		}
	}
	m["visits_whole_share"] = ratio(whole, whole+broken) // of what was served in the surge, to accounts that were served all they asked
	m["shed"], m["inversions_first_share"], m["inversions_after"] = shed, ratio(earlyInv, early), lateInv
	m["pairs"], m["torn_share"] = pairs, ratio(torn, pairs)
	for _, l := range lanes {
		m["served_share_"+l] = ratio(lanesServed[l], lanesAsked[l])
	}
	if m["released_s"] = 0; !over.IsZero() && lastShed.After(over) {
		m["released_s"] = lastShed.Sub(over).Seconds()
	}
	return m, nil
}

// sheddingFigures are an arm's, where the experiment names lanes.
func (p *play) sheddingFigures() (map[string]float64, error) {
	var marks []time.Time
	var surge, over time.Time
	for _, l := range p.e.Loads {
		if l.FromS > 0 && (len(p.arm.Loads) == 0 || slices.Contains(p.arm.Loads, l.Name)) {
			marks = append(marks, p.from.Add(s(l.FromS)))
			if l.ToS > 0 {
				surge, over = p.from.Add(s(l.FromS)), p.from.Add(s(l.ToS))
			}
		}
	}
	for _, v := range p.arm.Events {
		marks = append(marks, p.from.Add(s(v.AtS)))
	}
	slices.SortFunc(marks, time.Time.Compare)
	p.mu.Lock()
	all := slices.Clone(p.asked)
	p.mu.Unlock()
	m, err := auditShedding(p.e.PriorityClasses, all, p.fleet.Began(), p.from, marks, surge, over)
	for _, part := range p.parts {
		part.mu.Lock()
		m["worth_per_s"] += part.earned / part.span.Seconds()
		part.mu.Unlock()
	}
	return m, err
}

const maxSheddingRequests = 1 << 20
