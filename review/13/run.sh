#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 late-heartbeat review/13/record.txt
