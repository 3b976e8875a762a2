package nettest

import (
	"flag"
	"os"
	"testing"
)

// Drawn runs a package's tests with the same drawn histories each time, so that a verdict can be had again; the flag
// -rapid.seed draws others.
func Drawn(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
