//go:build review

// Command play2 plays the cases of the second review (REPORT-2.md): it starts routers as the deploy file says, with stand-ins for
// clients, data servers and the discovery agent around them, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each case's file adds its own.
var cases = map[string]entry{}

// entry is a case: its settings and its play.
type entry struct {
	site func() *site
	play scenario
}

// scenario plays one case. It returns an error if the case could not run.
type scenario func(w *world) error

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: play2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(chosen entry, record string) int {
	w, err := newWorld(chosen.site(), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	go func() {
		time.Sleep(110 * time.Second)
		fmt.Fprintln(os.Stderr, "the case takes too long")
		w.stop()
		os.Exit(2)
	}()
	if err := chosen.play(w); err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	w.check()
	if err := w.writeRecord(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.summary()
	if len(w.breaks) > 0 {
		return 1
	}
	return 0
}

// summary prints what came and what was broken.
func (w *world) summary() {
	outcomes, sent := map[string]int{}, map[string]int{}
	for _, request := range w.requests {
		outcomes[request.outcome]++
	}
	for _, send := range w.sends {
		sent[send.outcome]++
	}
	fmt.Println("requests", outcomes, "attempts", sent)
	for i, text := range w.breaks {
		if i < 20 {
			fmt.Println("BROKEN", text)
		}
	}
	if len(w.breaks) > 20 {
		fmt.Println("and", len(w.breaks)-20, "more")
	}
}

// startAll starts all routers and waits until they are ready.
func (w *world) startAll() error {
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range w.routers {
		if !r.awaitReady(30 * time.Second) {
			return fmt.Errorf("router %s is not ready", r.name)
		}
	}
	return nil
}

// addRouters adds the site's routers.
func (w *world) addRouters() {
	for len(w.routers) < w.site.routers {
		w.addRouter()
	}
}

// addGroups adds groups of members, the first of each the primary.
func (w *world) addGroups(groups, members int) {
	for group := 1; group <= groups; group++ {
		for i := range members {
			w.addServer(group, string(rune('a'+i%3)), i == 0)
		}
	}
}
