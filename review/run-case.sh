#!/usr/bin/env bash
# run-case.sh SCENARIO FOLDER plays a scenario of the stand-in: exit 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.."
if [ ! -x target/platform ] || [ ! -x review/bin/standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR ROOT=$PWD
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 115 review/bin/standin "$1" "review/$2/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
esac
echo "the case could not run to its end: $code" >&2
exit 2
