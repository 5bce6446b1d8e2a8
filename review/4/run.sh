#!/usr/bin/env bash
# Plays the case. Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || { echo "run review/build.sh first" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case gang -trouble=$trouble -dir review/4
