#!/usr/bin/env bash
# Plays a case of the third review: run-case-3.sh CASE FOLDER. It exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$2
cd "$(dirname "$0")/.."
for program in target/gypsumpitchd target/review3/harness3; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
# The harness ends all processes that it has started before it exits, also when it is signalled.
target/review3/harness3 "$1" "$folder/record.txt" &
harness=$!
trap 'kill -TERM "$harness" 2>/dev/null' TERM INT
wait "$harness"
status=$?
if [ "$status" -gt 128 ]; then
  wait "$harness"
  exit 2
fi
exit "$status"
