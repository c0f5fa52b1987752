#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagoonroute ] && [ -x target/review-2/case9 ] || { echo "build first: the command of the deploy file, then review/build-2.sh" >&2; exit 2; }
exec target/review-2/case9 review/9/record.txt
