#!/usr/bin/env bash
# The whole path as separate processes: 7 daemons, the engines and apps of one
# user's deployment and the platform's stand-ins. Shows a model request, a
# streamed one, a session, a payment and its bill, takes a data centre out and
# back under traffic, kills what can be killed, and says what was seen.
set -u
cd "$(dirname "$0")/.."
USER_NAME=${USER_NAME:-kitami}
LOGS=$(mktemp -d)
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$LOGS"' EXIT
FAILED=0
say() { printf '\n== %s\n' "$*"; }
check() { # what command...
  local what=$1
  shift
  if "$@"; then echo "ok: $what"; else
    echo "NOT ok: $what"
    FAILED=1
  fi
}
gp() { bin/gypsumpitch --daemon "$(operator_url "${VIA:-2}")" --key "$OPERATOR_KEY" "$@"; }
ask() { # daemon path body curl-options...
  local n=$1 path=$2 body=$3
  shift 3
  curl -sS -m 30 "$(caller_url "$n")$path" -H "Authorization: Bearer $ACCOUNT_KEY" -d "$body" "$@"
}
chat() { printf '{"model":"%s","stream":%s,"messages":[{"role":"user","content":"%s"}]}' "$MODEL" "$1" "$2"; }
code_of() { ask "$@" -o /dev/null -D - | tr -d '\r' | sed -n 's/^X-Result-Code: //ip'; }
answers_by_number() { # daemon: any numbered answer counts, a hang doesn't
  local code
  code=$(code_of "$1" /v1/chat/completions "$(chat false "anyone there")")
  echo "  daemon $1 answered with code ${code:-none}"
  [ -n "$code" ]
}
wait_warm() {
  local i
  for i in $(seq 100); do
    [ "$(code_of 1 /v1/chat/completions "$(chat false warm)")" = 0 ] && return 0
    sleep 0.1
  done
  return 1
}

say "Starting $USER_NAME: 7 daemons, $ENGINES engines, $APPS apps, the platform"
start_deployment || exit 1
check "the engines are warm" wait_warm

say "A model request through each of 7 daemons"
for n in 1 2 3 4 5 6 7; do check "daemon $n serves" test "$(code_of "$n" /v1/chat/completions "$(chat false hello)")" = 0; done
ask 3 /v1/chat/completions "$(chat false "hello there")"
echo

say "A streamed request"
ask 4 /v1/chat/completions "$(chat true "hello there")" -N | tail -3

say "A session keeps its version while a roll-out moves"
ask 5 /v1/chat/completions "$(chat false first)" -H "X-Session-Id: visit-1" -o /dev/null -D - | grep -i '^X-Model-Version'
gp version start "$CANARY_MODEL" v2 --share 100
ask 6 /v1/chat/completions "$(chat false second)" -H "X-Session-Id: visit-1" -o /dev/null -D - | grep -i '^X-Model-Version'

say "A payment, its repeat through another daemon, and its misuse"
ask 1 "$APP_PATH/entries" '{"pay":5}' -H "Idempotency-Key: demo-1"
echo
check "the repeat is answered from the record" test "$(ask 2 "$APP_PATH/entries" '{"pay":5}' -H "Idempotency-Key: demo-1" -o /dev/null -D - | tr -d '\r' | sed -n 's/^X-Replayed: //ip')" = true
check "the same key with another body is refused" test "$(code_of 3 "$APP_PATH/entries" '{"pay":6}' -H "Idempotency-Key: demo-1")" = 4002

say "Data centre $DATA_CENTRE out and back under traffic"
bin/gypsumpitch load --plan "$EXAMPLE/load.json" --for 12s --rate 80 >"$LOGS/move.txt" &
LOAD=$!
sleep 3
gp data-centre out "$DATA_CENTRE"
sleep 4
gp data-centre in "$DATA_CENTRE"
wait "$LOAD"
cat "$LOGS/move.txt"
check "no request was cut" grep -q 'cut 0, no connection 0, wrong answers 0, moved sessions 0' "$LOGS/move.txt"

say "The bills"
sleep 1
gp bills

say "Killing processes: numbered answers, never a hang"
for name in entry-7 engine-1 app-1 ratings hosts objects table; do
  kill -9 "${PID_OF[$name]}"
  sleep 0.3
  check "after killing $name" answers_by_number 2
done
check "a payment without the table service is refused as not run" test "$(code_of 3 "$APP_PATH/entries" '{"pay":7}' -H "Idempotency-Key: demo-2")" = 4005

say "Every daemon"
VIA=2 gp status
say "Summary"
if [ "$FAILED" -eq 0 ]; then echo "everything was as it should be"; else echo "something was not as it should be, see above"; fi
exit "$FAILED"
