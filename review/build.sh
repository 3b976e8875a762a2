#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -tags review -o review/bin/standin ./review/standin
