#!/usr/bin/env bash
# End-to-end demo with separate processes: 7 daemons, the engines and apps of one
# user's deployment, and stand-ins for the platform's services. Sends a model request, a
# streamed request, a session and a payment with its bill; takes a data centre out of
# and back into service under load; kills one process of each kind; and checks the
# results.
set -u
cd "$(dirname "$0")/.."
USER_NAME=${USER_NAME:-kitami}
LOGS=$(mktemp -d)
# shellcheck source=scripts/deployment.sh
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$LOGS"' EXIT
FAILED=0
heading() { printf '\n== %s\n' "$*"; }
check() { # description command...
  local description=$1
  shift
  if "$@"; then echo "ok: $description"; else
    echo "NOT ok: $description"
    FAILED=1
  fi
}
operator_cli() { bin/gypsumpitch --daemon "$(operator_url "${DAEMON_NUMBER:-2}")" --key "$OPERATOR_KEY" "$@"; }
send_request() { # daemon path body curl-options...
  local n=$1 path=$2 body=$3
  shift 3
  curl -sS -m 30 "$(caller_url "$n")$path" -H "Authorization: Bearer $ACCOUNT_KEY" -d "$body" "$@"
}
chat_body() { printf '{"model":"%s","stream":%s,"messages":[{"role":"user","content":"%s"}]}' "$MODEL" "$1" "$2"; }
result_code() { send_request "$@" -o /dev/null -D - | tr -d '\r' | sed -n 's/^X-Result-Code: //ip'; }
answers_with_code() { # daemon: succeeds on any result code, but not on a timeout
  local code
  code=$(result_code "$1" /v1/chat/completions "$(chat_body false "anyone there")")
  echo "  daemon $1 answered with code ${code:-none}"
  [ -n "$code" ]
}
wait_until_warm() {
  local i
  for i in $(seq 100); do
    [ "$(result_code 1 /v1/chat/completions "$(chat_body false warm)")" = 0 ] && return 0
    sleep 0.1
  done
  return 1
}

heading "Starting $USER_NAME: 7 daemons, $ENGINES engines, $APPS apps, the platform"
start_deployment || exit 1
check "the engines are warm" wait_until_warm

heading "A model request through each of 7 daemons"
for n in 1 2 3 4 5 6 7; do check "daemon $n serves" test "$(result_code "$n" /v1/chat/completions "$(chat_body false hello)")" = 0; done
send_request 3 /v1/chat/completions "$(chat_body false "hello there")"
echo

heading "A streamed request"
send_request 4 /v1/chat/completions "$(chat_body true "hello there")" -N | tail -3

heading "A session keeps its version while a roll-out moves"
send_request 5 /v1/chat/completions "$(chat_body false first)" -H "X-Session-Id: visit-1" -o /dev/null -D - | grep -i '^X-Model-Version'
operator_cli version start "$CANARY_MODEL" v2 --share 100
send_request 6 /v1/chat/completions "$(chat_body false second)" -H "X-Session-Id: visit-1" -o /dev/null -D - | grep -i '^X-Model-Version'

heading "A payment, its repeat through another daemon, and its misuse"
send_request 1 "$APP_PATH/entries" '{"pay":5}' -H "Idempotency-Key: demo-1"
echo
check "the repeat is answered from the record" test "$(send_request 2 "$APP_PATH/entries" '{"pay":5}' -H "Idempotency-Key: demo-1" -o /dev/null -D - | tr -d '\r' | sed -n 's/^X-Replayed: //ip')" = true
check "the same key with another body is refused" test "$(result_code 3 "$APP_PATH/entries" '{"pay":6}' -H "Idempotency-Key: demo-1")" = 4002

heading "Data centre $DATA_CENTRE out and back under traffic"
bin/gypsumpitch load --plan "$EXAMPLE/load.json" --for 12s --rate 80 >"$LOGS/move.txt" &
LOAD_PID=$!
sleep 3
operator_cli data-centre out "$DATA_CENTRE"
sleep 4
operator_cli data-centre in "$DATA_CENTRE"
wait "$LOAD_PID"
cat "$LOGS/move.txt"
check "no request was cut" grep -q 'cut 0, no connection 0, wrong answers 0, moved sessions 0' "$LOGS/move.txt"

heading "The bills"
sleep 1
operator_cli bills

heading "Killing processes: numbered answers, never a hang"
for name in entry-7 engine-1 app-1 ratings hosts objects table; do
  kill -9 "${PID_OF[$name]}"
  sleep 0.3
  check "after killing $name" answers_with_code 2
done
check "a payment without the table service is refused as not run" test "$(result_code 3 "$APP_PATH/entries" '{"pay":7}' -H "Idempotency-Key: demo-2")" = 4005

heading "Every daemon"
DAEMON_NUMBER=2 operator_cli status
heading "Summary"
if [ "$FAILED" -eq 0 ]; then echo "everything was as it should be"; else echo "something was not as it should be, see above"; fi
exit "$FAILED"
