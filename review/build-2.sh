#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases 6 to 10. It needs the deploy file's build before it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -tags review -o bin/review-play2 ./review/play2
