#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start, besides the daemon: one program with the
# clients, the servers and the platform's store.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
