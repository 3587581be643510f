#!/usr/bin/env bash
# Runs a load plan against a new fleet for each seed, and writes reports.
#
#   scripts/experiment.sh DEPLOYMENT SCENARIO [SEED...]
#
# Scenarios: steady-50 steady-80 steady-100 steady-130 (percent of capacity),
# burst, slow-stage, lost-targets, heavy-organisation, data-centre-cut,
# grey-target, direct.
# Environment:
#   WISTERIA_POLICY    routing policy put into the ordinary preset
#   WISTERIA_PRESET    jq object merged into the ordinary preset
#   WISTERIA_LABEL     part of the report names (default: the routing policy)
#   WISTERIA_OUT       folder of the reports (default build/experiments)
#   WISTERIA_ROUTERS   number of routers (default: the deployment's)
#   WISTERIA_BASE_PORT as for scripts/fleet.sh
set -euo pipefail
cd "$(dirname "$0")/.."
usage() {
  sed -n '2,15s/^# \{0,1\}//p' "$0" >&2
  exit 2
}
[ $# -ge 2 ] || usage
deployment=$1
scenario=$2
shift 2
seeds=("${@:-1}")
export WISTERIA_BASE_PORT=${WISTERIA_BASE_PORT:-11000}
bin=${WISTERIA_BIN:-build/bin}
out=${WISTERIA_OUT:-build/experiments}
policy=${WISTERIA_POLICY:-two_choices}
label=${WISTERIA_LABEL:-$policy}
mkdir -p "$out"

# Prints a jq filter that yields a plan's phases, steps and end of the disturbance
# from the load file. The disturbance lasts from second 8 to 18 of 28.
plan_filter() {
  case $1 in
    steady-*) echo "{phases: [{name: \"steady\", seconds: 14, rate: (.capacity_per_s * ${1#steady-} / 100)}]}" ;;
    burst) echo '.capacity_per_s as $c | {recovery_from: 18, phases: [
      {name: "before", seconds: 8, rate: ($c * 0.3)}, {name: "burst", seconds: 10, rate: ($c * 1.5)},
      {name: "after", seconds: 10, rate: ($c * 0.3)}]}' ;;
    slow-stage) fault_plan '{pool: "reranker", slow_factor: 3}' '{pool: "reranker"}' ;;
    lost-targets) fault_plan '{targets: $fifth, down: true}' '{targets: $fifth}' ;;
    data-centre-cut) fault_plan '{data_centre: $centre, down: true}' '{data_centre: $centre}' ;;
    grey-target) fault_plan '{targets: [$grey], fail_share: 0.5}' '{targets: [$grey]}' ;;
    heavy-organisation) echo '.capacity_per_s as $c | .organisations[-1].name as $h | {recovery_from: 18, phases: [
      {name: "before", seconds: 8, rate: ($c * 0.6)},
      {name: "heavy", seconds: 10, rate: ($c * 0.6), heavy: $h, heavy_factor: 10},
      {name: "after", seconds: 10, rate: ($c * 0.6)}]}' ;;
    direct) echo '{phases: [{name: "steady", seconds: 20, rate: (.rate // 200)}], kinds: [
      {name: "routed", pipeline: "stock-lookup", share: 0.5, deadline_ms: 2000},
      {name: "direct", pipeline: "stock-lookup", share: 0.5, deadline_ms: 2000, direct_stage: "lookup", direct_targets: $stock}]}' ;;
    *) usage ;;
  esac
}
# Prints the filter of a plan that injects faults.
fault_plan() {  # faults, the same targets without faults
  echo ".capacity_per_s as \$c | {recovery_from: 18, phases: [
    {name: \"before\", seconds: 8, rate: (\$c * 0.6)}, {name: \"fault\", seconds: 10, rate: (\$c * 0.6)},
    {name: \"after\", seconds: 10, rate: (\$c * 0.6)}], steps: [{at: 8, faults: $1}, {at: 18, faults: $2}]}"
}

run=$(mktemp -d)
export WISTERIA_RUN_DIR=$run/fleet
configuration=$run/configuration.json
jq --arg policy "$policy" --argjson overrides "${WISTERIA_PRESET:-{\}}" \
  '.presets[.preset] += ({routing: $policy} + $overrides)' "settings/$deployment/configuration.json" >"$configuration"

# Retries on other ports: an outgoing connection of another program may hold one.
start_fleet() {
  local attempt
  for attempt in 1 2 3 4 5; do
    WISTERIA_CONFIGURATION=$configuration scripts/fleet.sh start "$deployment" "${WISTERIA_ROUTERS:-0}" >/dev/null && return
    scripts/fleet.sh stop "$deployment" >/dev/null 2>&1 || true
    export WISTERIA_BASE_PORT=$((10000 + RANDOM % 30 * 100))
  done
  echo "experiment.sh: the fleet did not start" >&2
  exit 1
}

for seed in "${seeds[@]}"; do
  start_fleet
  name=$deployment-$scenario-$label-$seed
  jq -n --arg name "$name" --argjson seed "$seed" --argjson base "$WISTERIA_BASE_PORT" \
    --slurpfile load "settings/$deployment/load.json" --slurpfile fleet "$WISTERIA_RUN_DIR/standin.json" '
    $fleet[0] as $f
    | ($f.targets | map(.kind == "engine") | length) as $all
    | [$f.targets | to_entries[] | select(.key % 5 == 0) | .value.id] as $fifth
    | $f.vms[0].data_centre as $first | ($f.vms[1].data_centre) as $centre
    | ($f.targets[0].id) as $grey
    | [$f.targets[] | select(.pool == "order-stock") | "127.0.0.1:\(.port)"] as $stock
    | $load[0] | . + ('"$(plan_filter "$scenario")"') + {name: $name, seed: $seed,
        platform: "127.0.0.1:\($base)",
        routers: [$f.vms[] | select(.role == "router") | "127.0.0.1:\(.port)"]}' >"$out/$name.plan.json"
  code=0
  timeout 120 "$bin/wisteria-load" --plan="$out/$name.plan.json" --output="$out/$name.json" --html="$out/$name.html" || code=$?
  scripts/fleet.sh stop "$deployment" >/dev/null || echo "experiment.sh: the fleet did not stop cleanly" >&2
  [ $code = 0 ] || { echo "wisteria-load: exit code $code" >&2; exit $code; }
  jq --arg command "scripts/experiment.sh $deployment $scenario $seed" '.command = $command' "$out/$name.json" >"$run/figures"
  cp "$run/figures" "$out/$name.json"
  jq -r '[.name, "attainment \(.attainment)", "goodput \(.goodput_per_s)/s", "p50 \(.answer_p50_ms) p99 \(.answer_p99_ms)",
    "first \(.first_token_p50_ms)/\(.first_token_p99_ms)", "retries \(.retries_per_request)", "wasted \(.wasted_share)",
    "fair \(.fairness)", "recovery \(.recovery_seconds)", (.codes | tostring)] | join("  ")' "$out/$name.json"
done
rm -rf "$run"
