#!/usr/bin/env bash
# Starts a small fleet, sends a sketch question and shows its stages, sends a
# booking twice with one idempotency key, and stops the fleet. Exits 0 if every
# check succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=hekkeform/fleet-small
WISTERIA_RUN_DIR=$(mktemp -d)
export WISTERIA_RUN_DIR
max_start_attempts=5
ctl="${WISTERIA_BIN:-build/bin}/wisteriactl"

step() { printf '\n== %s\n' "$1"; }

fail() {
  echo "demo.sh: $1" >&2
  exit 1
}

clean_up() {
  if [ -s "$WISTERIA_RUN_DIR/pids" ]; then
    scripts/fleet.sh stop $deployment || true
  fi
  rm -rf "$WISTERIA_RUN_DIR"
}
trap clean_up EXIT

# Starts the fleet on ports below the ephemeral range, and retries on other
# ports when one is in use.
start() {
  local attempt
  for ((attempt = 1; attempt <= max_start_attempts; ++attempt)); do
    export WISTERIA_BASE_PORT=$((14000 + RANDOM % 12 * 1500 + RANDOM % 9 * 10))
    scripts/fleet.sh start $deployment && return
    scripts/fleet.sh stop $deployment >/dev/null 2>&1 || true
  done
  fail "the fleet did not start"
}

# Sends a request and prints the response.
send_request() {  # router, pipeline, body, further curl arguments
  curl -sS --max-time 20 "http://$1/v1/pipelines/$2/requests" \
    -H 'Authorization: Bearer demo-molde-kommune' -d "$3" "${@:4}"
}

step "A small fleet starts"
start
platform=http://127.0.0.1:$WISTERIA_BASE_PORT
router=127.0.0.1:$((WISTERIA_BASE_PORT + 1))
other_router=127.0.0.1:$((WISTERIA_BASE_PORT + 2))
"$ctl" --routers="$router" status

question='{"question": "How many rings does a spiral of 1.8 m need?"}'
step "A sketch question is answered; its stages"
answer=$(send_request "$router" sketch-question "$question")
jq -r '.stages[] | "  \(.stage)\t\(.target)\tattempts \(.attempts)\t\(.took_us) us"' <<<"$answer"
jq -r '"  answer: \(.result)\n  complete: \(.complete)"' <<<"$answer"
[ "$(jq -r .complete <<<"$answer")" = true ] || fail "the answer is not complete: $answer"

step "The same question, streamed"
stream=$(send_request "$other_router" sketch-question "$question" -N -H 'Accept: text/event-stream')
sed -n 's/^data: {"text":"\(.*\)"}$/\1/p' <<<"$stream" | tr -d '\n' | sed 's/^/  /;s/$/\n/'
grep -q '^event: complete$' <<<"$stream" || fail "the stream has no event \"complete\""
echo "  parts: $(grep -c '^event: token$' <<<"$stream"), ended by the event \"complete\""
[ "$(sed -n 's/^data: //p' <<<"$stream" | tail -1 | jq -r .result)" = "$(jq -r .result <<<"$answer")" ] ||
  fail "the streamed answer differs from the JSON answer"

step "A booking is sent twice with one key, through two routers"
booking='{"frame": "elephant", "count": 1}'
for via in "$router" "$other_router"; do
  answer=$(send_request "$via" frame-order "$booking" -H 'Idempotency-Key: order-1001')
  jq -c '{complete, result}' <<<"$answer" | sed 's/^/  /'
  [ "$(jq -r .complete <<<"$answer")" = true ] || fail "the booking failed: $answer"
done

step "The ledger of the order and stock workers"
ledger=$(curl -sS --max-time 5 "$platform/control/ledger")
jq -c '.operations[]' <<<"$ledger" | sed 's/^/  /'
[ "$(jq '.operations | length' <<<"$ledger")" = 1 ] || fail "the booking is not recorded exactly once"
echo "  recorded exactly once"

step "The fleet stops"
scripts/fleet.sh stop $deployment
