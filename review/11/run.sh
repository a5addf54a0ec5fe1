#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-3.sh" error-in-first-events review/11
