#!/usr/bin/env bash
# Runs the property tests with random seeds for MINUTES (default 10). On a failure it
# prints the seed and the command that reproduces it.
set -u
cd "$(dirname "$0")/.."
deadline=$((SECONDS + 60 * ${MINUTES:-10}))
packages="./internal/proof/cluster ./internal/proof/traffic ./internal/control/peerfeed ./platform"
runs=0
while [ "$SECONDS" -lt "$deadline" ]; do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  export GYPSUMPITCH_SEED=$seed GYPSUMPITCH_CHECKS=${CHECKS:-400}
  if ! output=$(go test -count=1 -timeout 30m $packages 2>&1); then
    grep -v '\[rapid\] draw' <<<"$output" | head -40
    echo "FAILED: GYPSUMPITCH_SEED=$seed GYPSUMPITCH_CHECKS=$GYPSUMPITCH_CHECKS go test -count=1 $packages"
    exit 1
  fi
  runs=$((runs + 1))
done
echo "$runs runs of $GYPSUMPITCH_CHECKS checks with fresh seeds, no violation"
