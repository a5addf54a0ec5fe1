#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
TROUBLE="${TROUBLE:-1}" exec "$here/../bin/harness" leaders "$here"
