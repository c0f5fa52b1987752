#!/usr/bin/env bash
# TWICE: a worker is cut off with refused connections and runs on. TROUBLE=0 leaves out the cut.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
RECORD="review/2/record.txt" timeout 115 target/review/case2
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
