#!/usr/bin/env bash
# Starts a small fleet, answers a sketch question with its stages shown, sends
# a booking twice with one key, and stops the fleet. Exits 0 if all went well.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=hekkeform/fleet-small

in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Below the ports that the system gives to outgoing connections.
free_base() {
  local try base
  for try in 1 2 3 4 5 6 7 8 9 10; do
    base=$((14000 + (($$ + try) % 12) * 1500))
    in_use "$base" || in_use $((base + 1)) || in_use $((base + 100)) ||
      in_use $((base + 1000)) || { echo "$base" && return; }
  done
  echo "demo.sh: found no free range of ports" >&2
  exit 1
}

WISTERIA_BASE_PORT=${WISTERIA_BASE_PORT:-$(free_base)}
export WISTERIA_BASE_PORT
WISTERIA_RUN_DIR=$(mktemp -d)
export WISTERIA_RUN_DIR
platform=http://127.0.0.1:$WISTERIA_BASE_PORT
router=127.0.0.1:$((WISTERIA_BASE_PORT + 1))
other_router=127.0.0.1:$((WISTERIA_BASE_PORT + 2))
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

ask() {  # router, pipeline, body, further curl arguments
  curl -sS --max-time 20 "http://$1/v1/pipelines/$2/requests" \
    -H 'Authorization: Bearer demo-molde-kommune' -d "$3" "${@:4}"
}

step "A small fleet starts"
scripts/fleet.sh start $deployment
"$ctl" --routers="$router" status

question='{"question": "How many rings does a spiral of 1.8 m need?"}'
step "A sketch question is answered; its stages"
answer=$(ask "$router" sketch-question "$question")
jq -r '.stages[] | "  \(.stage)\t\(.target)\tattempts \(.attempts)\t\(.took_us) us"' <<<"$answer"
jq -r '"  answer: \(.result)\n  whole: \(.complete)"' <<<"$answer"
[ "$(jq -r .complete <<<"$answer")" = true ] || fail "the answer is not whole: $answer"

step "The same question, streamed"
stream=$(ask "$other_router" sketch-question "$question" -N -H 'Accept: text/event-stream')
sed -n 's/^data: {"text":"\(.*\)"}$/\1/p' <<<"$stream" | tr -d '\n' | sed 's/^/  /;s/$/\n/'
grep -q '^event: complete$' <<<"$stream" || fail "the stream has no end that marks it whole"
echo "  parts: $(grep -c '^event: token$' <<<"$stream"), ended by the event \"complete\""
[ "$(sed -n 's/^data: //p' <<<"$stream" | tail -1 | jq -r .result)" = "$(jq -r .result <<<"$answer")" ] ||
  fail "the streamed answer differs from the plain one"

step "A booking is sent twice with one key, through two routers"
booking='{"frame": "elephant", "count": 1}'
for at in "$router" "$other_router"; do
  answer=$(ask "$at" frame-order "$booking" -H 'Idempotency-Key: order-1001')
  jq -c '{complete, result}' <<<"$answer" | sed 's/^/  /'
  [ "$(jq -r .complete <<<"$answer")" = true ] || fail "the booking failed: $answer"
done

step "The ledger of the order and stock workers"
ledger=$(curl -sS --max-time 5 "$platform/control/ledger")
jq -c '.operations[]' <<<"$ledger" | sed 's/^/  /'
[ "$(jq '.operations | length' <<<"$ledger")" = 1 ] || fail "the booking is not recorded once"
echo "  recorded once"

step "The fleet stops"
scripts/fleet.sh stop $deployment
