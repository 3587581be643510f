#!/usr/bin/env bash
# Measures the processes of a fleet: time to start and to stop, memory when
# idle, and processor time, memory and connections under rising load.
#
#   scripts/measure_processes.sh DEPLOYMENT [RATE...]
#
# Prints one line for each role and rate: the mean over the role's processes.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: measure_processes.sh DEPLOYMENT [RATE...]}
shift
rates=("${@:-200}")
export WISTERIA_BASE_PORT=${WISTERIA_BASE_PORT:-11000}
bin=${WISTERIA_BIN:-build/bin}
seconds=10
work=$(mktemp -d)
export WISTERIA_RUN_DIR=$work/fleet

now() { date +%s.%N; }
elapsed() { echo "$(now) $1" | awk '{printf "%.2f", $1 - $2}'; }

# Processor seconds, resident megabytes and open sockets of each process.
snapshot() {
  local pid name
  while read -r pid name; do
    local ticks rss sockets
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    rss=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
    sockets=$(ls -l "/proc/$pid/fd" | grep -c socket: || true)
    echo "$name $ticks $rss $sockets"
  done <"$WISTERIA_RUN_DIR/pids"
}

role_of='function role(n) { return n ~ /^router-/ ? "router" : n == "standin" ? "standin" : "agent" }'

start=$(now)
scripts/fleet.sh start "$deployment" "${WISTERIA_ROUTERS:-0}" >/dev/null
echo "start_seconds $(elapsed "$start") processes $(wc -l <"$WISTERIA_RUN_DIR/pids")"
sleep 3
snapshot >"$work/before"
sleep 10
snapshot >"$work/idle"
paste "$work/before" "$work/idle" | awk "$role_of"'
  { r = role($1); n[r]++; cpu[r] += ($6 - $2) / 100 / 10; rss[r] += $7 / 1024; s[r] += $8; if ($7 > m[r]) m[r] = $7 }
  END { for (r in n) printf "idle role %s n %d cpu_share %.4f rss_mb %.1f rss_max_mb %.1f sockets %.1f\n", r, n[r], cpu[r] / n[r], rss[r] / n[r], m[r] / 1024, s[r] / n[r] }'
for rate in "${rates[@]}"; do
  jq -n --argjson rate "$rate" --argjson seconds $seconds --argjson base "$WISTERIA_BASE_PORT" \
    --slurpfile load "settings/$deployment/load.json" --slurpfile fleet "$WISTERIA_RUN_DIR/standin.json" '
    $load[0] + {name: "processes", phases: [{seconds: $seconds, rate: $rate}], platform: "127.0.0.1:\($base)",
      routers: [$fleet[0].vms[] | select(.role == "router") | "127.0.0.1:\(.port)"]}' >"$work/plan.json"
  snapshot >"$work/before"
  timeout 60 "$bin/wisteria-load" --plan="$work/plan.json" --output="$work/figures.json" &
  load=$!
  sleep $((seconds - 1))
  snapshot >"$work/during"
  wait $load
  paste "$work/before" "$work/during" | awk -v rate="$rate" -v seconds=$((seconds - 1)) "$role_of"'
    { r = role($1); n[r]++; cpu[r] += ($6 - $2) / 100 / seconds; rss[r] += $7 / 1024; s[r] += $8; if ($7 > m[r]) m[r] = $7 }
    END { for (r in n) printf "rate %s role %s n %d cpu_share %.4f rss_mb %.1f rss_max_mb %.1f sockets %.1f\n", rate, r, n[r], cpu[r] / n[r], rss[r] / n[r], m[r] / 1024, s[r] / n[r] }'
  jq -r '"rate '"$rate"' attainment \(.attainment) p50_ms \(.answer_p50_ms) p99_ms \(.answer_p99_ms) platform_reads \(.platform_reads_per_s)/s writes \(.platform_writes_per_s)/s"' "$work/figures.json"
done
stop=$(now)
scripts/fleet.sh stop "$deployment" >/dev/null && echo "stop_seconds $(elapsed "$stop") exit_codes 0"
rm -rf "$work"
