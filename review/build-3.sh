#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The daemon comes from the
# build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/harness3
