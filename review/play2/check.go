//go:build review

package main

import (
	"sort"
	"time"
)

// slack is how much longer every time limit is on sockets.
const slack = 50 * time.Millisecond

// check judges the play by the rules of the pages.
func (w *world) check() {
	w.mu.Lock()
	sends, requests := append([]*sendRecord(nil), w.sends...), append([]*requestRecord(nil), w.requests...)
	w.mu.Unlock()
	sort.SliceStable(sends, func(i, j int) bool { return sends[i].last < sends[j].last })
	byID := map[string][]*sendRecord{}
	for _, send := range sends {
		byID[send.id] = append(byID[send.id], send)
	}
	for _, request := range requests {
		w.checkRequest(request, byID[request.id])
	}
	for _, send := range sends {
		w.checkSend(send)
	}
}

func (w *world) wasDown(r *requestRecord) bool {
	for _, down := range w.routers[r.router].downs {
		if r.sentAt <= down[1] && r.endedAt >= down[0] {
			return true
		}
	}
	return false
}

// checkRequest checks the rules on one request and its attempts.
func (w *world) checkRequest(r *requestRecord, attempts []*sendRecord) {
	if r.sentAt == 0 {
		return
	}
	class := w.site.class(r.class)
	limit := max(r.sentAt, r.waits) + r.d + 500*time.Millisecond + slack
	switch {
	case w.wasDown(r) || r.outcome == "left" || r.leftAt > 0:
	case r.outcome == "wrong":
		w.fault("lost", "%s was served with %q", r.id, r.note)
	case r.outcome == "none" || r.outcome != "closed" && r.endedAt > limit:
		w.fault("lost", "%s of class %s was not answered in time: %s", r.id, r.class, r)
	case r.outcome == "closed" && len(attempts) > 0:
		w.fault("lost", "%s was forwarded and its connection closed without an answer", r.id)
	}
	for i, attempt := range attempts {
		if attempt.cluster != attempt.server.group || attempt.server.group != r.group {
			w.fault("foreign", "%s went to a server of group %d", r.id, attempt.server.group)
		}
		if r.leftAt > 0 && attempt.first > r.leftAt+100*time.Millisecond+slack {
			w.fault("lost", "%s was sent %.1f ms after its client had left", r.id, ms(attempt.first-r.leftAt))
		}
		for _, earlier := range attempts[:i] {
			w.checkPair(class, earlier, attempt)
		}
	}
	if r.outcome == "refused" && class.effect != "free" && (class.effect != "guarded" || class.scope != "all") {
		for _, attempt := range attempts {
			if attempt.mayHaveRun() {
				w.fault("duplicate", "%s was refused though it may have run at %s", r.id, attempt.server.name)
			}
		}
	}
}

// checkPair checks a further attempt against an earlier one.
func (w *world) checkPair(class *class, earlier, later *sendRecord) {
	if earlier.ended == 0 || earlier.ended > later.last+5*time.Millisecond {
		w.fault("duplicate", "%s has two attempts in flight", later.id)
	}
	if class.effect == "free" || !earlier.mayHaveRun() {
		return
	}
	if class.effect == "single_shot" {
		w.fault("duplicate", "%s of a class that must not run twice was sent again after %s", later.id, earlier.outcome)
	}
	if later.last-earlier.last > class.window+slack {
		w.fault("duplicate", "%s was sent again %.0f ms after an attempt that may have run", later.id, ms(later.last-earlier.last))
	}
}

// checkSend checks the rules on one attempt.
func (w *world) checkSend(send *sendRecord) {
	server, class := send.server, w.site.class(send.class)
	w.mu.Lock()
	closed := server.closedTo[send.router]
	w.mu.Unlock()
	if closed > 0 && send.first > closed+w.site.grace+slack {
		w.fault("drain", "%s was sent to %s %.0f ms after it was told", send.id, server.name, ms(send.first-closed))
	}
	if class == nil || send.fromPrimary || send.outcome != "ok" {
		return
	}
	server.mu.Lock()
	told := server.toldCopy[send.router]
	excused := server.wasPrimary && (told == 0 || send.last < told+100*time.Millisecond+slack)
	server.mu.Unlock()
	if excused {
		return
	}
	switch class.read {
	case "lag_bound":
		if age := send.last - send.dataAt; age > class.bounds+slack {
			w.fault("stale", "%s was answered by %s from data %.0f ms old", send.id, server.name, ms(age))
		}
	case "causal":
		if at := w.unix(send.dataAt).UnixMilli(); at < send.after {
			w.fault("stale", "%s was answered by %s from %d, and needs %d", send.id, server.name, at, send.after)
		}
	}
}
