#!/usr/bin/env bash
# Measures with 7 daemons as processes: the time from the start of an edit to its
# acceptance, from acceptance until it is in force at the slowest daemon, and from the
# command that takes a data centre out of service to the last new request there. The
# resolution is one poll, about 30 ms. Not part of CI.
set -u
cd "$(dirname "$0")/.."
USER_NAME=${USER_NAME:-kitami}
LOGS=$(mktemp -d)
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$LOGS"' EXIT
operator_cli() { bin/gypsumpitch --daemon "$(operator_url 1)" --key "$OPERATOR_KEY" "$@"; }
now_ms() { date +%s%3N; }
lowest_version() { # daemons...: lowest version in force at them
  local urls=() n
  for n in "$@"; do urls+=("$(operator_url "$n")/metrics"); done
  curl -s "${urls[@]}" | sed -n 's/^gypsumpitch_config_version //p' | sort -n | head -1
}
measure_edit() { # daemons...
  local started_ms accepted_ms version
  started_ms=$(now_ms)
  version=$(operator_cli version share "$CANARY_MODEL" v2 --share "$((RANDOM % 1000))" | sed -n 's/^version \([0-9]*\) .*/\1/p')
  accepted_ms=$(now_ms)
  while [ "$(lowest_version "$@")" -lt "$version" ]; do :; done
  echo "$((accepted_ms - started_ms)) $(($(now_ms) - accepted_ms))"
}
measure_edits() { # label daemons...
  local label=$1
  shift
  for _ in $(seq 10); do measure_edit "$@"; done | sort -n -k1 | awk -v label="$label" '
    {a[NR]=$1; if ($2>m) m=$2} END {printf "%-28s accepted after p50 %d ms, max %d ms; then in force everywhere after max %d ms\n", label, a[int((NR+1)/2)], a[NR], m}'
}
served_in_data_centre() { # requests served by engines 2, 5, 8, ..., which are those in DATA_CENTRE
  local n urls=()
  for n in $(seq 2 3 "$ENGINES"); do urls+=("http://127.0.0.1:$((BASE + 200 + n))/v1/stats"); done
  curl -s "${urls[@]}" | grep -o '@v[0-9]*":[0-9]*' | cut -d: -f2 | awk '{s+=$1} END {print s+0}'
}
measure_drain() { # label
  local started_ms last_ms count last_count
  bin/gypsumpitch load --plan "$EXAMPLE/load.json" --for 9s --rate 80 >"$LOGS/load.txt" &
  local load_pid=$!
  sleep 2
  started_ms=$(now_ms)
  last_ms=$started_ms
  operator_cli data-centre out "$DATA_CENTRE" >/dev/null &
  local out_pid=$!
  last_count=$(served_in_data_centre)
  while [ $(($(now_ms) - started_ms)) -lt 5000 ]; do
    count=$(served_in_data_centre)
    if [ "$count" != "$last_count" ]; then
      last_count=$count
      last_ms=$(now_ms)
    fi
  done
  wait "$out_pid"
  printf '%-28s last new work %d ms after the command; ' "$1" "$((last_ms - started_ms))"
  operator_cli data-centre in "$DATA_CENTRE" >/dev/null
  wait "$load_pid"
  head -1 "$LOGS/load.txt"
}
start_deployment >/dev/null || exit 1
sleep 3
measure_edits "edit, no faults" 1 2 3 4 5 6 7
measure_drain "drain, no faults"
set_faults "$((BASE + 1))" '{"slow_ms":200}'
kill -STOP "${PID_OF[entry-7]}" "${PID_OF[entry-6]}"
measure_edits "edit, slow store, 2 frozen" 1 2 3 4 5
measure_drain "drain, slow store, 2 frozen"
kill -CONT "${PID_OF[entry-7]}" "${PID_OF[entry-6]}"
set_faults "$((BASE + 1))" '{}'
