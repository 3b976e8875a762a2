#!/usr/bin/env bash
# play.sh CASE RECORD plays a case of the review: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x bin/router ]; then
  echo "bin/router is missing: run the build line of deploy/balancer.toml" >&2
  exit 2
fi
review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout -k 2 110 review/bin/standin "$1" . "$2"
status=$?
case $status in
0 | 1) exit $status ;;
esac
exit 2
