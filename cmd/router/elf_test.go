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

// The platform preloads a library into the router's process, which requires a program that is linked dynamically
// against the C library. The build command in deploy/balancer.toml must produce such a program.
func TestBuiltRouterIsDynamic(t *testing.T) {
	deployFile, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	command := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(deployFile)
	if command == nil {
		t.Fatal("no build line in deploy/balancer.toml")
	}
	dir := t.TempDir()
	build := exec.Command("sh", "-c", regexp.MustCompile(`\bbin\b`).ReplaceAllString(string(command[1]), dir))
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file, err := elf.Open(filepath.Join(dir, "router"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	hasInterpreter := slices.ContainsFunc(file.Progs, func(segment *elf.Prog) bool { return segment.Type == elf.PT_INTERP })
	hasLibC := slices.ContainsFunc(libraries, func(l string) bool { return regexp.MustCompile(`^libc\.`).MatchString(l) })
	if !hasInterpreter || !hasLibC {
		t.Errorf("has an interpreter: %v, libraries %v: the router must be linked against the C library", hasInterpreter, libraries)
	}
}
