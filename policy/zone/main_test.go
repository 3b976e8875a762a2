package zone

import (
	"testing"

	"lotushook/internal/nettest"
)

func TestMain(m *testing.M) { nettest.RunWithFixedSeed(m) }
