#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../../target/review-standin-2" voters "$here/../.." "$here/record.txt"
