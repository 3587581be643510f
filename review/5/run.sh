#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: could not run. TROUBLE=0 leaves
# the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="target/review/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/bin/wisteria-gateway ] || exit 2
exec "$program" "$folder"
