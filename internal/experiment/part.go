package experiment

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lotushook/internal/emulator"
)

// part is what was seen of one load or flood.
type part struct {
	mu                 sync.Mutex
	from               time.Time // what began before it does not count
	until              time.Time
	span               time.Duration
	counts             [outcomes]int
	classes            map[string]*classCounts
	durations          *hdrhistogram.Histogram // µs, of what was served, or of a flood's waiting
	requestedWeight    float64                 // asked
	earned             float64
	byTerms            int // refused by a contract, as the refusal says
	rejectedWithReason int // of a flood: heard why
	closedSilently     int // closed without a word
	seconds            []second
}

// classCounts counts the requests of one class.
type classCounts struct{ requested, served, inObjective, refused int }

// second is one second of an arm, for the charts.
type second struct {
	requested, served, refused, inObjective int
	weight                                  float64 // of inAim
}

func newPart(from time.Time, span time.Duration) *part {
	return &part{from: from, until: from.Add(span), span: span, classes: map[string]*classCounts{}, durations: hdrhistogram.New(1, 60e6, 3),
		seconds: make([]second, int(span/time.Second)+1)}
}

// at is the second in which something began, nil outside the measured time.
func (p *part) at(t time.Time) *second {
	if t.Before(p.from) || !t.Before(p.until) {
		return nil
	}
	return &p.seconds[int(t.Sub(p.from)/time.Second)]
}

// done notes the end of a request that began at some time.
func (p *part) done(class string, c Class, began time.Time, o outcome, why string) {
	took := time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	sec := p.at(began)
	if sec == nil {
		return
	}
	t := p.classes[class]
	if t == nil {
		t = &classCounts{}
		p.classes[class] = t
	}
	t.requested++
	sec.requested++
	p.counts[o]++
	p.requestedWeight += c.Worth
	switch o {
	case served:
		t.served++
		sec.served++
		_ = p.durations.RecordValue(max(1, took.Microseconds()))
		if c.AimMS == 0 || took <= ms(c.AimMS) {
			t.inObjective++
			sec.inObjective++
			sec.weight += c.Worth
			p.earned += c.Worth
		}
	case refused:
		sec.refused++
		t.refused++
		if strings.Contains(why, "(contracts") {
			p.byTerms++
		}
	}
}

// ended notes the end of one of a flood's connections.
func (p *part) ended(began time.Time, told bool) {
	took := time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	sec := p.at(began)
	if sec == nil {
		return
	}
	sec.requested++
	_ = p.durations.RecordValue(max(1, took.Microseconds()))
	if told {
		p.rejectedWithReason++
		sec.refused++
	} else {
		p.closedSilently++
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// metrics are a load's or a flood's figures.
func (p *part) metrics() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]float64{}
	for _, q := range []struct {
		name string
		q    float64
	}{{"p50_ms", 50}, {"p90_ms", 90}, {"p99_ms", 99}} {
		m[q.name] = float64(p.durations.ValueAtQuantile(q.q)) / 1e3
	}
	if n := p.rejectedWithReason + p.closedSilently; n > 0 {
		m["ended"], m["told"], m["told_share"] = float64(n), float64(p.rejectedWithReason), ratio(float64(p.rejectedWithReason), float64(n))
		return m
	}
	asked, inAim := 0, 0
	for o, n := range p.counts {
		asked += n
		m[outcomeNames[o]] = float64(n)
	}
	for class, t := range p.classes {
		inAim += t.inObjective
		m[class+"_asked"] = float64(t.requested)
		m[class+"_served_per_s"] = float64(t.served) / p.span.Seconds()
		m[class+"_refused"] = float64(t.refused)
		m[class+"_aim_share"] = ratio(float64(t.inObjective), float64(t.requested))
	}
	m["asked"], m["by_contract"] = float64(asked), float64(p.byTerms)
	m["served_per_s"] = float64(p.counts[served]) / p.span.Seconds()
	m["served_share"] = ratio(m["served"], m["asked"])
	m["refused_share"] = ratio(m["refused"], m["asked"])
	m["aim_share"] = ratio(float64(inAim), m["asked"])
	m["worth_share"] = ratio(p.earned, p.requestedWeight)
	return m
}

// audited are the data servers' figures.
func audited(a emulator.Audit, requests float64) map[string]float64 {
	return map[string]float64{"requests": float64(a.Requests), "writes": float64(a.Writes), "dropped": float64(a.Dropped),
		"doubled": float64(a.Doubled), "misses": float64(a.Misses), "turned_away": float64(a.Rejected),
		"own_reads": float64(a.OwnReads), "stale_reads": float64(a.Stale), "probes": float64(a.Probes), "late": float64(a.Late), "feed_reads": float64(a.FeedReads), "attempts_per_request": ratio(float64(a.Requests), requests)}
}
