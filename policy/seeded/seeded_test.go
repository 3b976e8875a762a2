package seeded

import "testing"

func TestDrawsDependOnSeed(t *testing.T) {
	first, second, otherSeed := New(7), New(7), New(8)
	equal, sum := 0, 0.0
	const draws = 10_000
	for range draws {
		got := first.Draw()
		if got < 0 || got >= 1 {
			t.Fatalf("drew %v, want a number in [0, 1)", got)
		}
		if got != second.Draw() {
			t.Fatal("two generators with the same seed drew different numbers")
		}
		if got == otherSeed.Draw() {
			equal++
		}
		sum += got
	}
	if mean := sum / draws; equal > 0 || mean < 0.48 || mean > 0.52 {
		t.Errorf("%d draws equal those of another seed; the mean is %.3f", equal, mean)
	}
}
