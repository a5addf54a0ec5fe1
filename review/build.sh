#!/usr/bin/env bash
# Builds the stand-ins and the clients that the scripts start. It needs the Go toolchain only.
set -eu
cd "$(dirname "$0")/harness"
go build -o ../bin/harness .
