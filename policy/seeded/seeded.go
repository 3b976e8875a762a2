// Package seeded draws numbers that follow from a seed alone, so that a decision can be replayed.
package seeded

// The constants of Knuth's MMIX linear congruential generator. It is short enough to port to any language.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Generator draws numbers. It is not safe for concurrent use.
type Generator struct{ state uint64 }

// New returns a generator for a seed.
func New(seed uint64) *Generator { return &Generator{state: seed} }

// Draw returns a number from 0 up to 1, made of the state's top bits.
func (g *Generator) Draw() float64 {
	const mantissaBits = 53
	g.state = g.state*multiplier + increment
	return float64(g.state>>(64-mantissaBits)) / (1 << mantissaBits)
}
