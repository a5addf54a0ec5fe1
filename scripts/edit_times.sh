#!/usr/bin/env bash
# Measures with 7 daemons as processes: from an edit's start to its acceptance,
# from there to in force at the slowest daemon, and from a data centre's drain to
# the last new work there. Resolution is one poll, about 30 ms. Not part of CI.
set -u
cd "$(dirname "$0")/.."
USER_NAME=${USER_NAME:-kitami}
LOGS=$(mktemp -d)
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$LOGS"' EXIT
gp() { bin/gypsumpitch --daemon "$(operator_url 1)" --key "$OPERATOR_KEY" "$@"; }
now_ms() { date +%s%3N; }
slowest() { # lowest version in force at the daemons given by number
  local urls=() n
  for n in "$@"; do urls+=("$(operator_url "$n")/metrics"); done
  curl -s "${urls[@]}" | sed -n 's/^gypsumpitch_config_version //p' | sort -n | head -1
}
edit_once() { # daemons...
  local began accepted version
  began=$(now_ms)
  version=$(gp version share "$CANARY_MODEL" v2 --share "$((RANDOM % 1000))" | sed -n 's/^version \([0-9]*\) .*/\1/p')
  accepted=$(now_ms)
  while [ "$(slowest "$@")" -lt "$version" ]; do :; done
  echo "$((accepted - began)) $(($(now_ms) - accepted))"
}
edits() { # label daemons...
  local label=$1
  shift
  for _ in $(seq 10); do edit_once "$@"; done | sort -n -k1 | awk -v label="$label" '
    {a[NR]=$1; if ($2>m) m=$2} END {printf "%-28s accepted after p50 %d ms, max %d ms; then in force everywhere after max %d ms\n", label, a[int((NR+1)/2)], a[NR], m}'
}
served_there() {
  local n urls=()
  for n in $(seq 2 3 "$ENGINES"); do urls+=("http://127.0.0.1:$((BASE + 200 + n))/v1/stats"); done
  curl -s "${urls[@]}" | grep -o '@v[0-9]*":[0-9]*' | cut -d: -f2 | awk '{s+=$1} END {print s+0}'
}
drain() { # label
  local began last count seen
  bin/gypsumpitch load --plan "$EXAMPLE/load.json" --for 9s --rate 80 >"$LOGS/load.txt" &
  local load=$!
  sleep 2
  began=$(now_ms)
  last=$began
  gp data-centre out "$DATA_CENTRE" >/dev/null &
  local act=$!
  seen=$(served_there)
  while [ $(($(now_ms) - began)) -lt 5000 ]; do
    count=$(served_there)
    if [ "$count" != "$seen" ]; then
      seen=$count
      last=$(now_ms)
    fi
  done
  wait "$act"
  printf '%-28s last new work %d ms after the command; ' "$1" "$((last - began))"
  gp data-centre in "$DATA_CENTRE" >/dev/null
  wait "$load"
  head -1 "$LOGS/load.txt"
}
start_deployment >/dev/null || exit 1
sleep 3
edits "edit, no faults" 1 2 3 4 5 6 7
drain "drain, no faults"
set_faults "$((BASE + 1))" '{"slow_ms":200}'
kill -STOP "${PID_OF[entry-7]}" "${PID_OF[entry-6]}"
edits "edit, slow store, 2 frozen" 1 2 3 4 5
drain "drain, slow store, 2 frozen"
kill -CONT "${PID_OF[entry-7]}" "${PID_OF[entry-6]}"
set_faults "$((BASE + 1))" '{}'
