//go:build review

// Command standin plays the cases of the review: it starts routers with the deploy file's command, and takes the place
// of clients, data servers and the platform, as the protocol page describes them. Its exit status is 0 if the rule
// held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// A case returns what broke the rule; none: the rule held.
var cases = map[string]func(play *play) (broken []string, err error){}

// play is one run of a case.
type play struct {
	root    string // of the repository
	dir     string // a temporary folder
	trouble bool   // whether the disruption is played
	*record
}

func main() {
	runtime.LockOSThread() // the routers end with the thread that started them
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play1 func(*play) ([]string, error), root, path string) int {
	fail := func(err error) int {
		fmt.Println("could not run:", err)
		return 2
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	file, err := os.Create(path)
	if err != nil {
		return fail(err)
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	current := &play{root, dir, os.Getenv("TROUBLE") != "0", &record{file: file, began: time.Now()}}
	current.line("trouble=%v; times since %s", current.trouble, current.began.UTC().Format(time.RFC3339Nano))
	broken, err := play1(current)
	if err != nil {
		current.line("could not run: %v", err)
		return fail(err)
	}
	for _, text := range broken {
		current.line("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return 1
	}
	current.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
