package nettest

import (
	"flag"
	"os"
	"testing"
)

// RunWithFixedSeed runs the tests of a package with a fixed seed for package rapid, so that a result can be reproduced.
// The flag -rapid.seed sets another seed.
func RunWithFixedSeed(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
