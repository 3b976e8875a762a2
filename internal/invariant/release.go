//go:build !debug

package invariant

// Debug says that a broken invariant stops the program.
const Debug = false
