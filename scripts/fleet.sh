#!/usr/bin/env bash
# Starts or stops a fleet of separate processes on loopback.
#
#   scripts/fleet.sh start DEPLOYMENT [ROUTERS]
#   scripts/fleet.sh stop  DEPLOYMENT
#
# DEPLOYMENT is a folder of settings/, optionally with a fleet file:
# `hekkeform` or `hekkeform/fleet-small`. Environment:
#   WISTERIA_BASE_PORT  first port used (default 11000)
#   WISTERIA_RUN_DIR    folder of process ids and logs
#   WISTERIA_BIN        folder of the programs (default build/bin)
#   WISTERIA_FLEET_FILE     fleet description in place of the deployment's
#   WISTERIA_CONFIGURATION  configuration in place of the deployment's
#   WISTERIA_ROUTER_SET, WISTERIA_AGENT_SET  further settings, as for --set
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  sed -n '2,15s/^# \{0,1\}//p' "$0" >&2
  exit 2
}
[ $# -ge 2 ] || usage
command=$1
deployment=${2%%/*}
fleet_file=fleet
[ "$deployment" = "$2" ] || fleet_file=${2#*/}
base_port=${WISTERIA_BASE_PORT:-11000}
bin=${WISTERIA_BIN:-build/bin}
run=${WISTERIA_RUN_DIR:-/tmp/wisteria-fleet-$deployment-$base_port}
platform=$base_port
wait_seconds=30

# Prints the stand-in's settings: routers at ports base+1.., agents at base+100..,
# targets at base+1000..
print_standin_settings() {
  jq -c --argjson base "$base_port" --argjson router_count "${1:-0}" '
    . as $f
    | ($f.data_centres | length) as $centres
    | (if $router_count > 0 then $router_count else $f.routers end) as $routers
    | [ $f.pools[] | . as $p | range(.count) | . as $i
        | $p + {id: "\($p.pool)-\($i + 1)", turn: $i} | del(.count) ]
    | to_entries
    | map(.value + {number: .key, data_centre: $f.data_centres[.value.turn % $centres]})
    | { name: "standin",
        listen: {port: $base},
        targets: map(del(.turn, .number) + {port: ($base + 1000 + .number)}),
        vms: ([ range($routers) | {name: "router-\(. + 1)", role: "router",
                  data_centre: $f.data_centres[. % $centres],
                  address: "127.0.0.1", port: ($base + 1 + .)} ]
              + map({name: .id, role: "target", pool, data_centre,
                     address: "127.0.0.1", port: ($base + 100 + .number)})) }
  ' "${WISTERIA_FLEET_FILE:-settings/$deployment/$fleet_file.json}"
}

# Starts a program in the background. Appends its process id to the file pids, and
# writes its exit code to NAME.exit when it ends.
launch() {  # name, program, arguments
  local name=$1
  shift
  (
    "$bin/$1" "${@:2}" &
    pid=$!
    echo "$pid $name" >>"$run/pids"
    code=0
    wait "$pid" || code=$?
    echo "$code" >"$run/$name.exit"
  ) >"$run/$name.log" 2>&1 </dev/null &
}

fail() {
  echo "fleet.sh: $1" >&2
  exit 1
}

# Waits until a command succeeds; fails when a process has exited or on timeout.
wait_until() {  # description, command
  local description=$1 deadline=$((SECONDS + wait_seconds))
  shift
  until "$@" >/dev/null 2>&1; do
    all_running || fail "a process ended (logs in $run)"
    [ $SECONDS -lt $deadline ] || fail "timed out waiting for $description (logs in $run)"
    sleep 0.05
  done
}

# Succeeds if no process has exited, and always during a stop.
all_running() { [ "$command" = stop ] || ! compgen -G "$run/*.exit" >/dev/null; }

http_get() { curl -sf --max-time 5 "http://127.0.0.1:$1$2"; }

router_ports() { jq -r '.vms[] | select(.role == "router") | .port' "$run/standin.json"; }

all_targets_usable() {
  local expected
  expected=$(jq '.targets | length' "$run/standin.json")
  [ "$(http_get "$1" /v1/operator/status | jq .usable_targets)" = "$expected" ]
}

start() {
  mkdir -p "$run"
  [ ! -s "$run/pids" ] || fail "already started (see $run/pids); stop it first"
  rm -f "$run"/*.exit "$run"/*.log
  : >"$run/pids"
  print_standin_settings "${1:-0}" >"$run/standin.json"
  launch standin wisteria-standin "--settings=$run/standin.json"
  wait_until "the stand-in of the platform" http_get "$platform" /vms
  local name role centre pool port target slots
  while IFS=$'\t' read -r name role centre pool port target slots; do
    if [ "$role" = router ]; then
      launch "$name" wisteria-router "--set=/name=$name,/data_centre=$centre,/listen/port=$port,/platform/port=$platform,/stop/grace_ms=200${WISTERIA_ROUTER_SET:+,$WISTERIA_ROUTER_SET}"
    else
      launch "$name" wisteria-agent "--set=/name=$name,/data_centre=$centre,/listen/port=$port,/platform/port=$platform,/target/pool=$pool,/target/port=$target,/limits/concurrency=$slots${WISTERIA_AGENT_SET:+,$WISTERIA_AGENT_SET}"
    fi
  done < <(jq -r '(.targets | map({(.id): .port}) | add) as $ports
    | (.targets | map({(.id): (.batch_limit // .parallel // 16)}) | add) as $slots
    | .vms[] | [.name, .role, .data_centre, .pool // "-", .port, $ports[.name] // 0, $slots[.name] // 0] | @tsv' "$run/standin.json")
  local first
  first=$(router_ports | head -1)
  wait_until "router-1" http_get "$first" /healthz
  "$bin/wisteriactl" --routers="127.0.0.1:$first" configuration apply "${WISTERIA_CONFIGURATION:-settings/$deployment/configuration.json}" 0 >"$run/apply.log" 2>&1 ||
    fail "the configuration was rejected: $(cat "$run/apply.log")"
  for port in $(router_ports); do
    wait_until "the router on $port" http_get "$port" /readyz
    wait_until "the router on $port to use all targets" all_targets_usable "$port"
  done
  all_running || fail "a process ended (logs in $run)"
  echo "started $(wc -l <"$run/pids") processes of $deployment; routers: $(router_ports | tr '\n' ' ')"
}

# Sends SIGTERM to the processes whose names match, by id, and waits for them.
stop_matching() {  # pattern
  local pid name
  while read -r pid name; do
    if [[ $name =~ $1 ]] && [ ! -e "$run/$name.exit" ]; then
      kill -TERM "$pid" 2>/dev/null || true
    fi
  done <"$run/pids"
  while read -r pid name; do
    [[ $name =~ $1 ]] || continue
    wait_until "$name ($pid) to stop" test -s "$run/$name.exit"
  done <"$run/pids"
}

stop() {
  [ -s "$run/pids" ] || fail "no fleet is running ($run)"
  stop_matching '^router-'
  stop_matching '-'
  stop_matching '^standin$'
  local count unclean=''
  count=$(wc -l <"$run/pids")
  for exit_file in "$run"/*.exit; do
    [ "$(cat "$exit_file")" = 0 ] || unclean="$unclean $(basename "$exit_file" .exit)"
  done
  rm -f "$run/pids" "$run"/*.exit
  [ -z "$unclean" ] || fail "exit codes other than 0:$unclean (logs in $run)"
  echo "stopped $count processes of $deployment, all with exit code 0"
}

case $command in
  start) start "${3:-0}" ;;
  stop) stop ;;
  *) usage ;;
esac
