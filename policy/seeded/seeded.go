// Package seeded provides a pseudo-random number generator whose draws depend on its seed alone, so that decisions can
// be replayed.
package seeded

// Constants of Knuth's MMIX linear congruential generator, an algorithm short enough to port to any language.
const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Generator generates pseudo-random numbers. It is not safe for concurrent use.
type Generator struct{ state uint64 }

// New returns a generator for a seed.
func New(seed uint64) *Generator { return &Generator{state: seed} }

// Draw returns a number in [0, 1), taken from the top bits of the state.
func (g *Generator) Draw() float64 {
	const mantissaBits = 53
	g.state = g.state*multiplier + increment
	return float64(g.state>>(64-mantissaBits)) / (1 << mantissaBits)
}
