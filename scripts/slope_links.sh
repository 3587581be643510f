#!/usr/bin/env bash
# Measures the cost of an idle link between a router and an agent: processor time,
# memory and control traffic of idle fleets of 10, 40 and 120 targets.
#
#   scripts/slope_links.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
ticks_per_second=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
metric_sum() { curl -sf "http://127.0.0.1:$1/metrics" | awk -v name="$2" '$1 ~ "^"name {s += $2} END {print s + 0}'; }

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
  router_ticks_0=$(cpu_ticks "$router") agent_ticks_0=$(cpu_ticks "$agent")
  router_bytes_0=$(metric_sum $((base + 1)) wisteria_control_bytes) router_messages_0=$(metric_sum $((base + 1)) wisteria_control_messages)
  agent_bytes_0=$(metric_sum $((base + 100)) wisteria_control_bytes)
  sleep "$seconds"
  router_ticks_1=$(cpu_ticks "$router") agent_ticks_1=$(cpu_ticks "$agent")
  router_bytes_1=$(metric_sum $((base + 1)) wisteria_control_bytes) router_messages_1=$(metric_sum $((base + 1)) wisteria_control_messages)
  agent_bytes_1=$(metric_sum $((base + 100)) wisteria_control_bytes)
  awk -v n="$size" -v s="$seconds" -v t="$ticks_per_second" -v c="$((router_ticks_1 - router_ticks_0))" -v a="$((agent_ticks_1 - agent_ticks_0))" \
    -v r="$(rss_kb "$router")" -v ar="$(rss_kb "$agent")" -v b="$(echo "$router_bytes_1 $router_bytes_0" | awk '{print $1 - $2}')" \
    -v m="$(echo "$router_messages_1 $router_messages_0" | awk '{print $1 - $2}')" -v ab="$(echo "$agent_bytes_1 $agent_bytes_0" | awk '{print $1 - $2}')" \
    'BEGIN {printf "| %d | %.2f | %.1f | %.0f | %.1f | %.2f | %.1f | %.0f |\n", n, 100 * c / t / s, r / 1024, b / s, m / s, 100 * a / t / s, ar / 1024, ab / s}'
  scripts/fleet.sh stop "capacity/links-$size" >/dev/null
  rm -rf "$WISTERIA_RUN_DIR"
done
