#!/usr/bin/env bash
# Builds pinford and runs it on loopback with stand-ins and three boxes: submits
# a policy, sends a diner's request and a booking, prints the time line, and
# stops everything in order. With --keep, everything keeps running until Enter
# is pressed.
set -euo pipefail
. "$(dirname "$0")/lib.sh"

install_packages
build --target pinford standin

RUN=$(mktemp -d)
PIDS=()
stop_all() {
  # The boxes first, with a planned stop each; the stand-ins last.
  local pid
  for pid in "${PIDS[@]:5:3}" "${PIDS[@]}"; do
    kill "$pid" 2>/dev/null || continue
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$RUN"
}
trap stop_all EXIT

mapfile -t PORTS < <("$BUILD/standin" ports 16)
at() { echo "127.0.0.1:${PORTS[$1]}"; }
start() {
  "$@" >>"$RUN/log" 2>&1 &
  PIDS+=($!)
}

# A platform store, three engines that each hold about a third of the model, and
# a service that records bookings.
cat >"$RUN/list.json" <<JSON
[{"name":"runner-a","role":"runner","hall":"kingston-1","address":"$(at 1)"},
 {"name":"runner-b","role":"runner","hall":"kingston-2","address":"$(at 2)"},
 {"name":"runner-c","role":"runner","hall":"kingston-3","address":"$(at 3)"},
 {"name":"bookings-1","role":"service","service":"bookings",
  "hall":"kingston-1","address":"$(at 4)"}]
JSON
start "$BUILD/standin" store --listen="$(at 0)" --list="$RUN/list.json"
start "$BUILD/standin" engine --listen="$(at 1)" --name=runner-a --begin=0 --end=3
start "$BUILD/standin" engine --listen="$(at 2)" --name=runner-b --begin=3 --end=6
start "$BUILD/standin" engine --listen="$(at 3)" --name=runner-c --begin=6 --end=8
start "$BUILD/standin" service --listen="$(at 4)" --name=bookings-1

echo "a-key-for-the-quickstart" >"$RUN/key"
for i in 1 2 3; do
  cat >"$RUN/box-$i.yaml" <<YAML
box: box-$i
hall: kingston-$i
listen:
  callers: $(at $((4 + i)))
  operators: $(at $((7 + i)))
  peers: $(at $((10 + i)))
keys:
  operators: a-key-for-the-quickstart
  peers: a-key-for-the-boxes-alone
store: $(at 0)
seeds: [$(at 11), $(at 12), $(at 13)]
utc_offset_minutes: -300
stop: {listen_ms: 600}
YAML
  "$BUILD/pinford" check --settings="$RUN/box-$i.yaml" >/dev/null
  start "$BUILD/pinford" serve --settings="$RUN/box-$i.yaml"
done
start "$BUILD/standin" balancer --listen="$(at 14)" "$(at 5)" "$(at 6)" "$(at 7)"

wait_for() {
  local i
  for i in $(seq 100); do
    curl -sf "http://$1" >/dev/null && return 0
    sleep 0.1
  done
  echo "no answer from $1; the log:" >&2
  cat "$RUN/log" >&2
  return 1
}
for i in 5 6 7 14; do wait_for "$(at $i)/readyz"; done

OPERATOR=(--operator="$(at 8)" --key-file="$RUN/key")
echo "== The operator submits a policy"
"$BUILD/pinford" policy submit "${OPERATOR[@]}" --author=quickstart \
  "$ROOT/examples/tablewise.lua"
for i in 8 9 10; do
  for _ in $(seq 50); do
    curl -s "http://$(at $i)/metrics" | grep -q '^pinford_generation 1$' && break
    sleep 0.1
  done
done
for _ in $(seq 50); do
  curl -s "http://$(at 14)/v1/models" | grep -q toy && break
  sleep 0.1
done

echo "== A diner's request, through the balancer, streamed"
curl -sN -D "$RUN/headers" "http://$(at 14)/v1/chat/completions" \
  -H 'X-Customer: island-grill' -H 'X-Kind: diner' \
  -d '{"model":"toy","stream":true,"max_tokens":6,
       "messages":[{"role":"user","content":"a table for two at eight"}]}'
REQUEST=$(grep -i '^x-pinford-request:' "$RUN/headers" | tr -d '\r' |
  cut -d' ' -f2)

echo "== A table is booked, and the same booking is sent once more"
for _ in 1 2; do
  curl -s -i "http://$(at 14)/services/bookings/tables" \
    -H 'X-Customer: island-grill' -H 'Idempotency-Key: party-of-two-at-eight' \
    -H 'Content-Type: application/json' -d '{"table":7,"at":"20:00"}' |
    tr -d '\r' | grep -E '^(HTTP|X-Pinford-Outcome|X-Pinford-Repeated|\{)'
  echo
done
echo "-- what the service recorded:"
curl -s "http://$(at 4)/records"
echo

echo "== The time line of the diner's request"
"$BUILD/pinford" timeline "${OPERATOR[@]}" --request="$REQUEST"
echo "== The last of the whole time line"
"$BUILD/pinford" timeline "${OPERATOR[@]}" | tail -n 12

if [ "${1:-}" = "--keep" ]; then
  echo "Callers: http://$(at 14)   Operators: http://$(at 8)"
  echo "Key: a-key-for-the-quickstart. Press Enter to stop."
  read -r _ || true
fi
echo "== Done"
