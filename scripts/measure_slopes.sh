#!/usr/bin/env bash
# Measures processes at several numbers of targets (15, 48, 123) and of
# organisations (5, 500, 3200); see scripts/measure_processes.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

for share in 0.25 1 2.5; do
  jq --argjson share $share '.pools |= map(.count = (.count * $share | ceil))' \
    settings/hekkeform/fleet.json >"$work/fleet.json"
  echo "targets $(jq '[.pools[].count] | add' "$work/fleet.json")"
  WISTERIA_FLEET_FILE=$work/fleet.json scripts/measure_processes.sh hekkeform 50
done
for organisations in 5 500 3200; do
  jq --argjson wanted $organisations '.organisations += ([range($wanted - 5)
    | {key: "organisation-\(.)", value: {key_sha256: ("0" * (64 - (tostring | length)) + tostring)}}] | from_entries)' \
    settings/hekkeform/configuration.json >"$work/configuration.json"
  echo "organisations $(jq '.organisations | length' "$work/configuration.json")"
  WISTERIA_CONFIGURATION=$work/configuration.json scripts/measure_processes.sh hekkeform 100
done
