#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-3.sh" lost-completion review/11
