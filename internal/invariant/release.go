//go:build !debug

package invariant

// Debug is whether a violated invariant panics.
const Debug = false
