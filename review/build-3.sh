#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The daemon comes from the
# build of deploy/system.toml. The harness is a module of its own, without dependencies, so that CI
# leaves it out.
set -eu
cd "$(dirname "$0")/harness3"
go build -o ../../target/review3/harness3 .
