#!/usr/bin/env bash
# run-case.sh FOLDER ARGUMENTS...: runs a scenario of the rig, writes record.txt into the folder and
# ends what was started. Exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
shift
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-rig ] && [ -x target/gypsumpitchd ] || exit 2
work=$(mktemp -d) || exit 2
finish() {
  local pid
  while read -r pid; do
    if grep -qa gypsumpitchd "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid"; fi
  done < <(cat "$work/pids" 2>/dev/null)
  rm -rf "$work"
}
trap finish EXIT
timeout -k 2 110 target/review-rig -work "$work" -record "$folder/record.txt" "$@"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
