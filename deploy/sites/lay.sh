#!/bin/sh
# Lays the sites of our own that the bench plays beside the operators' ones: each NAME.over here, put over the site file that
# its first line names, gives laid/NAME/NAME.toml, with real.json, wire.json and unlock.txt of that site beside it. Git ignores
# laid/. The one argument is the folder of the operators' pages, ../given beside the checkout if none is named.
#
# An override file has the form of a site file with only what differs. The n-th table of a name goes over the n-th of that
# name there; a line's key replaces that key, and a key that the site's table lacks is added at the table's end. Tables that
# the site lacks come last.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
given=${1:-$here/../../../given}
if [ ! -d "$given/kit" ]; then
  echo "lay.sh: no folder kit under $given: the operators' pages are missing, so no site was laid" >&2
  exit 1
fi
for over in "$here"/*.over; do
  name=$(basename "$over" .over)
  base=$given/$(sed -n '1s/^# over //p' "$over")
  if [ ! -f "$base" ]; then
    echo "lay.sh: $over names no site file under $given in its first line (# over kit/...)" >&2
    exit 1
  fi
  to=$here/laid/$name
  mkdir -p "$to"
  for beside in real.json wire.json unlock.txt; do cp "$(dirname "$base")/$beside" "$to/$beside"; done
  awk '
    function enter(line) { seen[file, line]++; table = line SUBSEP seen[file, line] }
    function rest(of,   n, i, part) { # what the table of the site just read lacked
      n = split(keys[of], part, "\n")
      for (i = 1; i <= n; i++) if (part[i] != "" && !((of, part[i]) in done)) { print value[of, part[i]]; done[of, part[i]] = 1 }
    }
    FNR == 1 { file++; table = "" }
    file == 1 && /^(#|$)/ { next }
    file == 1 && /^\[/ { enter($0); order[++tables] = table; head[table] = $0; next }
    file == 1 { keys[table] = keys[table] "\n" $1; value[table, $1] = $0; next }
    /^\[/ { rest(table); enter($0); met[table] = 1; print ""; print; next }
    /^$/ { next }
    (table, $1) in value { if (!((table, $1) in done)) print value[table, $1]; done[table, $1] = 1; next }
    { print }
    END {
      rest(table)
      for (i = 1; i <= tables; i++) if (!(order[i] in met)) { print ""; print head[order[i]]; rest(order[i]) }
    }' "$over" "$base" >"$to/$name.toml"
  echo "$to/$name.toml"
done
