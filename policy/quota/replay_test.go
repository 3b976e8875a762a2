package quota_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/quota"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		quotas := quota.New([]float64{0, 5, 40, 300})
		exceeds := func(now int64, tenant int, routers uint8) bool {
			return quotas.Exceeds(now, tenant-1, float64(routers))
		}
		replaytest.NewDriver(seed, digest).Run(600, exceeds)
	}
	digest.Check(t, "07d01cf33e8e7085/4800")
}
