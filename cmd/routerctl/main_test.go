package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lotushook/internal/experiment"
)

// bin is the folder of the built programs that these tests run.
var bin string

func TestMain(m *testing.M) {
	code := 1
	dir, err := os.MkdirTemp("", "routerctl")
	if err == nil {
		bin = dir
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir+"/", "../router", ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func runCtl(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(bin, "routerctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run() // the caller checks the exit code
	return stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The committed JSON files are what the Jsonnet files next to them render to, and render --check reports a difference.
func TestRender(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.jsonnet")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	if _, errs, code := runCtl(t, append([]string{"render", "--check"}, files...)...); code != 0 {
		t.Error(errs)
	}
	path := writeFile(t, "a.jsonnet", "{ a: 1 + 1 }")
	if _, errs, code := runCtl(t, "render", path); code != 0 {
		t.Fatal(errs)
	}
	raw, err := os.ReadFile(strings.TrimSuffix(path, "net"))
	if err != nil || string(raw) != "{\n   \"a\": 2\n}\n" {
		t.Errorf("%q, %v", raw, err)
	}
	if err := os.WriteFile(path, []byte("{ a: 3 }"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs, code := runCtl(t, "render", "--check", path); code != 1 || !strings.Contains(errs, "is not what") {
		t.Errorf("%d %s", code, errs)
	}
}

// Every experiment parses, and the embedded experiments equal those in the folder.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../../deploy/lab/*.jsonnet")
	if err != nil || len(files) < 3 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		text, err := render(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if _, err := experiment.Parse([]byte(text)); err != nil {
			t.Errorf("%s: %v", f, err)
		}
		if embedded, err := renderEmbedded("lab/" + filepath.Base(f)); err != nil || embedded != text {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// An experiment writes its results, and fails if a check does not hold.
func TestLab(t *testing.T) {
	dir := t.TempDir()
	out, errs, code := runCtl(t, "lab", "run", "testdata/tiny.jsonnet", "--seed", "3", "--out", dir)
	if code != 0 {
		t.Fatal(out, errs)
	}
	result, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil || !strings.Contains(string(result), `"experiment": "tiny"`) || !strings.Contains(string(result), `"seed": 3`) {
		t.Errorf("%s, %v", result, err)
	}
	for _, name := range []string{"report.md", "kept.svg", "one/n0.log"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	text, err := os.ReadFile("testdata/tiny.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	impossible := strings.Replace(string(text), "'one.kept.served', min: 1", "'one.kept.served', max: 0", 1)
	impossible = strings.Replace(impossible, "../../../deploy", absolutePath(t, "../../deploy"), 1)
	if out, errs, code := runCtl(t, "lab", "run", writeFile(t, "never.jsonnet", impossible), "--out", dir); code != 1 || !strings.Contains(out, "NOT HELD") || !strings.Contains(errs, "not all checks held") {
		t.Errorf("%d %s %s", code, out, errs)
	}
}

func absolutePath(t *testing.T, path string) string {
	t.Helper()
	abs, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	return abs
}

// An error on the command line or in an experiment is one line on standard error.
func TestInvalidArguments(t *testing.T) {
	unknownKey := writeFile(t, "odd.jsonnet", "{ name: 'odd', secods: 1 }")
	noFleet := writeFile(t, "empty.jsonnet", "{ name: 'empty', seconds: 1 }")
	unfinished := writeFile(t, "broken.jsonnet", "{ name: ")
	for _, test := range []struct{ args, want string }{
		{"", "no such command"}, {"dance", "no such command"}, {"render", "one or more files"}, {"render a.json", "not a .jsonnet"},
		{"render /nowhere.jsonnet", "nowhere"}, {"lab run", "takes one experiment"}, {"lab run " + unknownKey, "secods: unknown key"},
		{"lab run " + noFleet, "fleet: groups"}, {"lab run " + unfinished, "broken.jsonnet"}, {"lab run --seed x " + noFleet, "seed"},
		{"lab run --router /nowhere testdata/tiny.jsonnet", "router's program"},
	} {
		_, errs, code := runCtl(t, strings.Fields(test.args)...)
		if code != 1 || !strings.Contains(errs, test.want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("routerctl %s: code %d, %q", test.args, code, errs)
		}
	}
}

func TestFleet(t *testing.T) {
	logs := filepath.Dir(writeFile(t, "n1.log",
		"time=2026-12-01T10:00:01.000Z level=INFO msg=totals name=n1 asked=5 refused_crowd=2 served=3 at.s-1=3/0/0/0/1/0\n"+
			`time=2026-12-01T10:00:02.000Z level=INFO msg=request id=ab key=k1 class=order cluster=4 came_ms=1796119202000 left_ms=500 end=refused why=no_primary took_ms=250 way="s-1:finding@0=miss/3"`+"\n"))
	for _, test := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{logs}, 0, []string{"1 routers, 1 data servers seen", "refused_crowd", "s-1", "no_primary", "10:00:00"}},
		{[]string{"--request", "k1", logs}, 0, []string{"n1  order ab cluster 4", "s-1:finding@0=miss/3"}},
		{[]string{"--request", "zz", logs}, 1, []string{`no log line of request "zz"`}},
		{[]string{"--span", "0s", logs}, 1, []string{"span"}},
		{[]string{t.TempDir()}, 1, []string{"no file *.log"}},
		{nil, 1, []string{"one folder"}},
	} {
		out, errs, code := runCtl(t, append([]string{"fleet"}, test.args...)...)
		for _, text := range test.want {
			if code != test.code || !strings.Contains(out+errs, text) {
				t.Errorf("%v: code %d, no %q in %s%s", test.args, code, text, out, errs)
			}
		}
	}
}
