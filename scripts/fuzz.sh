#!/usr/bin/env bash
# Fuzzes for MINUTES (10 by default) with fresh seeds; a failure prints its seed
# and the command that repeats it.
set -u
cd "$(dirname "$0")/.."
end=$((SECONDS + 60 * ${MINUTES:-10}))
runs=0
while [ "$SECONDS" -lt "$end" ]; do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  export GYPSUMPITCH_SEED=$seed GYPSUMPITCH_CHECKS=${CHECKS:-400}
  if ! out=$(go test -count=1 -timeout 30m ./internal/proof/cluster ./internal/proof/traffic 2>&1); then
    grep -v '\[rapid\] draw' <<<"$out" | head -40
    echo "FAILED: GYPSUMPITCH_SEED=$seed GYPSUMPITCH_CHECKS=$GYPSUMPITCH_CHECKS go test -count=1 ./internal/proof/cluster ./internal/proof/traffic"
    exit 1
  fi
  runs=$((runs + 1))
done
echo "$runs runs of $GYPSUMPITCH_CHECKS checks with fresh seeds, no violation"
