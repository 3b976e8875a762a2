package seeded

import "testing"

func TestDrawsFollowFromTheSeed(t *testing.T) {
	x, y, other := New(7), New(7), New(8)
	same, sum := 0, 0.0
	const draws = 10_000
	for range draws {
		got := x.Draw()
		if got < 0 || got >= 1 {
			t.Fatalf("drew %v", got)
		}
		if got != y.Draw() {
			t.Fatal("two generators of one seed differ")
		}
		if got == other.Draw() {
			same++
		}
		sum += got
	}
	if mean := sum / draws; same > 0 || mean < 0.48 || mean > 0.52 {
		t.Errorf("%d draws equal to another seed's, mean %.3f", same, mean)
	}
}
