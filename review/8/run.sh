#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/router ] && [ -x bin/review-play2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec bin/review-play2 values review/8/record.txt
