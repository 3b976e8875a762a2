package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
)

// The platform loads a library into the router's process, which needs a program that is linked dynamically against the C
// library: what the deploy file's build line makes must be one.
func TestBuiltRouterIsDynamic(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("no build line in deploy/balancer.toml")
	}
	dir := t.TempDir()
	build := exec.Command("sh", "-c", regexp.MustCompile(`\bbin\b`).ReplaceAllString(string(line[1]), dir))
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "router"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	interp := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	libc := slices.ContainsFunc(libs, func(l string) bool { return regexp.MustCompile(`^libc\.`).MatchString(l) })
	if !interp || !libc {
		t.Errorf("interpreter %v, libraries %v: the router must be linked against the C library", interp, libs)
	}
}
