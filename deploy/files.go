// Package deploy embeds the experiments, so that routerctl can run them from any folder.
package deploy

import "embed"

// Files contains the experiments and the files that they import.
//
//go:embed lab contracts.libsonnet lanes.libsonnet
var Files embed.FS
