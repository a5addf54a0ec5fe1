# Functions that start and stop a deployment as separate processes on loopback.
# Sourced by demo.sh, edit_times.sh and outage.sh; needs USER_NAME and the programs
# in bin/.
set -u
PIDS=()
declare -A PID_OF
EXAMPLE="examples/$USER_NAME"
# shellcheck source=/dev/null
. "$EXAMPLE/env"
LOGS="${LOGS:-$(mktemp -d)}"

start_process() { # name command...
  local name=$1
  shift
  "$@" >>"$LOGS/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=("$!")
}

start_standins() {
  local n=1 role
  for role in table objects hosts ratings weights; do
    start_process "$role" bin/gypsumpitch-standin --listen "127.0.0.1:$((BASE + n))" "$role"
    n=$((n + 1))
  done
  local holds=() model
  for model in $HOLDS; do holds+=(--holds "$model"); done
  for n in $(seq "$ENGINES"); do
    start_process "engine-$n" bin/gypsumpitch-standin --listen "127.0.0.1:$((BASE + 200 + n))" "${holds[@]}" \
      --bad "$CANARY_MODEL@v1=12" --bad "$CANARY_MODEL@v2=${CANARY_BAD:-12}" engine
  done
  for n in $(seq "$APPS"); do
    start_process "app-$n" bin/gypsumpitch-standin --listen "127.0.0.1:$((BASE + 300 + n))" app
  done
}

start_daemon() { # number
  start_process "entry-$1" bin/gypsumpitchd run "$EXAMPLE/hosts/entry-$1.json"
}

caller_url() { echo "http://127.0.0.1:$((BASE + 100 + $1))"; }

operator_url() { echo "http://127.0.0.1:$((BASE + 110 + $1))"; }

await_url() { # url seconds
  local i
  for i in $(seq $(($2 * 10))); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

start_deployment() {
  start_standins
  local n
  for n in 1 2 3 4 5 6 7; do start_daemon "$n"; done
  await_url "$(operator_url 1)/healthz" 10 || return 1
  bin/gypsumpitch --daemon "$(operator_url 1)" --key "$PEER_KEY" apply "$EXAMPLE/tables.json" || return 1
  for n in 1 2 3 4 5 6 7; do await_url "$(caller_url "$n")/readyz" 10 || return 1; done
}

set_faults() { # port json
  curl -fsS -X POST "http://127.0.0.1:$1/faults" -d "$2"
}

stop_deployment() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
}
