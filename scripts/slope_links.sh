#!/usr/bin/env bash
# Measures what one idle link between a router and an agent costs: processor
# time, memory and control traffic of an idle fleet, at three sizes.
#
#   scripts/slope_links.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
sum() { curl -sf "http://127.0.0.1:$1/metrics" | awk -v name="$2" '$1 ~ "^"name {s += $2} END {print s + 0}'; }

echo "| targets | router CPU %/core | router RSS MB | router control B/s | router control messages/s | agent CPU %/core | agent RSS MB | agent control B/s |"
echo "|---|---|---|---|---|---|---|---|"
base=15000
for size in 10 40 120; do
  base=$((base + 2500))
  export WISTERIA_BASE_PORT=$base
  WISTERIA_RUN_DIR=$(mktemp -d)
  export WISTERIA_RUN_DIR
  scripts/fleet.sh start "capacity/links-$size" >/dev/null
  router=$(awk '$2 == "router-1" {print $1}' "$WISTERIA_RUN_DIR/pids")
  agent=$(awk '$2 == "inventory-1" {print $1}' "$WISTERIA_RUN_DIR/pids")
  sleep 3
  c0=$(cpu_ticks "$router") a0=$(cpu_ticks "$agent")
  b0=$(sum $((base + 1)) wisteria_control_bytes) m0=$(sum $((base + 1)) wisteria_control_messages)
  ab0=$(sum $((base + 100)) wisteria_control_bytes)
  sleep "$seconds"
  c1=$(cpu_ticks "$router") a1=$(cpu_ticks "$agent")
  b1=$(sum $((base + 1)) wisteria_control_bytes) m1=$(sum $((base + 1)) wisteria_control_messages)
  ab1=$(sum $((base + 100)) wisteria_control_bytes)
  awk -v n="$size" -v s="$seconds" -v t="$ticks" -v c="$((c1 - c0))" -v a="$((a1 - a0))" \
    -v r="$(rss_kb "$router")" -v ar="$(rss_kb "$agent")" -v b="$(echo "$b1 $b0" | awk '{print $1 - $2}')" \
    -v m="$(echo "$m1 $m0" | awk '{print $1 - $2}')" -v ab="$(echo "$ab1 $ab0" | awk '{print $1 - $2}')" \
    'BEGIN {printf "| %d | %.2f | %.1f | %.0f | %.1f | %.2f | %.1f | %.0f |\n", n, 100 * c / t / s, r / 1024, b / s, m / s, 100 * a / t / s, ar / 1024, ab / s}'
  scripts/fleet.sh stop "capacity/links-$size" >/dev/null
  rm -rf "$WISTERIA_RUN_DIR"
done
