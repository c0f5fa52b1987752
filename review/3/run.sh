#!/usr/bin/env bash
# TWICE: a worker crashes behind a short silent cut and starts again under its id. TROUBLE=0 leaves out cut and crash.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
RECORD="review/3/record.txt" timeout 115 target/review/case3
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
