#!/usr/bin/env bash
# Runs this case. Exit code 1: the rule was broken; 0: it held; 2: it could not run.
# TROUBLE=0 leaves the disruption out. Before it: the build of deploy/system.toml, then
# review/build.sh. What was sent, answered and run is written to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
record="$folder/record.txt"
cd "$folder/../.." || exit 2
echo "case $(basename "$folder"), TROUBLE=${TROUBLE:-1}" > "$folder/record.txt" || exit 2

program="target/review/case-$(basename "$folder")"
for needed in "$program" target/bin/wisteria-gateway; do
  if [ ! -x "$needed" ]; then
    echo "could not run: $needed is not built" | tee -a "$record" >&2
    exit 2
  fi
done

temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
trap 'kill "$case" 2>/dev/null' HUP INT TERM
"$program" "$record" "$temporary" &
case=$!
wait "$case"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
