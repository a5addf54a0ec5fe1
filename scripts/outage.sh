#!/usr/bin/env bash
# Measures an outage of the table service of OUTAGE seconds (default 60) under load,
# with 7 daemons: requests served and rejected, memory, unwritten bills, and how fast
# these are written afterwards. Not part of CI.
set -u
cd "$(dirname "$0")/.."
USER_NAME=${USER_NAME:-kitami}
OUTAGE=${OUTAGE:-60}
LOGS=$(mktemp -d)
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$LOGS"' EXIT
bills_and_memory() {
  local urls=() n
  for n in 1 2 3 4 5 6 7; do urls+=("$(operator_url "$n")/metrics"); done
  curl -s "${urls[@]}" | awk '/^gypsumpitch_bills_unwritten /{b+=$2} /^process_resident_memory_bytes /{m+=$2} END {printf "%d bills unwritten (own and held), %.0f MB resident in all", b, m/1e6}'
}
table_service_calls() { curl -s "http://127.0.0.1:$((BASE + 1))/v1/calls"; }
start_deployment >/dev/null || exit 1
sleep 3
bin/gypsumpitch load --plan "$EXAMPLE/load.json" --for "$((OUTAGE + 15))s" --rate 80 >"$LOGS/load.txt" &
LOAD_PID=$!
sleep 5
echo "before:       $(bills_and_memory)"
set_faults "$((BASE + 1))" '{"down":true}'
for _ in 1 2 3; do
  sleep $((OUTAGE / 3))
  echo "in outage:    $(bills_and_memory)"
done
set_faults "$((BASE + 1))" '{}'
for s in 1 2 3 4 5; do
  calls_before=$(table_service_calls)
  sleep 1
  echo "after ${s} s:    $(bills_and_memory); calls of the table service $calls_before -> $(table_service_calls)"
done
wait "$LOAD_PID"
cat "$LOGS/load.txt"
